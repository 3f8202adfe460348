#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "pollenledge/time.h"

namespace pollenledge {

/// The request bodies that the threads of one server are reading, and which of
/// them may be cut off for callers that wait for a thread.
///
/// Thread-safe. Its lock is taken last: nothing else is called under it but the
/// sockets.
class BodyReads {
 public:
  using Id = std::uint64_t;
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// A read that gets less than `kProgressStepBytes` in `kStallBound` stands
  /// still.
  static constexpr Duration kStallBound = std::chrono::seconds(1);
  static constexpr std::size_t kProgressStepBytes = std::size_t{4} * 1024;

  Id Begin(const Poco::Net::StreamSocket& socket, SteadyTime now);
  void OnProgress(Id id, std::size_t bytes, SteadyTime now);
  /// Returns false if the rest of the body was cut off by `CutStalled`.
  bool End(Id id);

  /// Cuts off at most `count` bodies whose reads stand still, the longest
  /// first. A read whose bytes this process has not handled yet is passed over.
  /// The thread then reads an end of the stream and can still respond.
  void CutStalled(int count, SteadyTime now);

 private:
  struct Read {
    Poco::Net::StreamSocket socket;
    SteadyTime progress_at;
    std::size_t unrecorded_bytes = 0;
    bool is_cut = false;
  };

  static bool IsStalled(const Read& read, SteadyTime now);
  static void Cut(Read* read);

  std::mutex mutex_;
  std::map<Id, Read> reads_;
  Id last_id_ = 0;
};

}  // namespace pollenledge
