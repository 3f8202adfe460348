#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/process/upstream_report_client.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// What an upstream's report shows, asked for after the connection of a
/// response had ended.
enum class ResponseEndProof : std::uint8_t {
  kSameIncarnation,   ///< The process that sent the response lives on.
  kLivingProcess,     ///< A process responds there, but does not say which.
  kOtherIncarnation,  ///< Another process has taken its place.
  kNoProcess,         ///< No process accepts connections there.
  kNoAnswer,          ///< The process gave no usable answer in time.
};

/// Returns the name of `proof` as used in logs and metrics.
const char* ToString(ResponseEndProof proof);

/// Returns what the call for a report shows about the process of
/// `expected_incarnation`, which is 0 if it is not known.
ResponseEndProof AssessReport(std::uint64_t expected_incarnation,
                              const UpstreamReport& report);

/// Returns true if the orderly end of a connection is the end of its response.
/// `may_be_old`: the end may have been received long before it was handled, so
/// that another process may have started since.
bool IsWholeAtClose(ResponseEndProof proof, bool may_be_old);

/// Returns true if the process that sent the response has ended, so that it
/// counts as lost. Without an answer nothing is known about it.
bool ShowsEndedProcess(ResponseEndProof proof);

/// Finds out whether upstreams still live after the connections of their
/// responses have ended. The kernel of a killed process ends its connections in
/// order if the process had read all that it had received, so that a response
/// without a length looks whole wherever it was broken off.
///
/// Asks for the upstream's report on a new connection each time: only a process
/// that lives then can respond. Not thread-safe; everything runs on the loop's
/// thread. Its end ends all calls without calling back.
class ResponseEndVerifier {
 public:
  using Callback = std::function<void(ResponseEndProof)>;

  /// `codec` must outlive the verifier.
  ResponseEndVerifier(boost::asio::io_context& loop,
                      const ForwardingCodec& codec);

  /// Asks the upstream at `address` for its report. The request was sent at
  /// `sent_at`, to the process of `listed_incarnation` (0: not known) or of an
  /// incarnation that was reported there before. Calls `callback` once, after
  /// a bounded time.
  void Verify(const std::string& address, std::uint64_t listed_incarnation,
              TimePoint sent_at, Callback callback);

 private:
  /// The response whose end is in question.
  struct Response {
    std::string address;
    std::uint64_t listed_incarnation = 0;
    TimePoint sent_at;  ///< When its request was sent.
  };
  /// An incarnation that reported itself at an address.
  struct Reported {
    std::uint64_t incarnation = 0;
    TimePoint first_at;
    TimePoint last_at;
    bool follows_another = false;  ///< Another one reported itself before.
  };

  /// Returns what `report` shows about the response's process, and remembers
  /// the incarnation that it states.
  ResponseEndProof OnReport(const Response& response,
                            const UpstreamReport& report, TimePoint now);
  /// Returns true if `incarnation` reported itself at the response's address
  /// before the request was sent. The list of upstreams may lag behind; a
  /// process that was there before and is there after the end has been there
  /// all the time.
  bool WasThere(const Response& response, std::uint64_t incarnation) const;
  /// Returns true if another incarnation reported itself at the response's
  /// address, and `incarnation` may have taken its place after the request was
  /// sent.
  bool MayHaveReplaced(const Response& response,
                       std::uint64_t incarnation) const;
  void RecordReport(const std::string& address, std::uint64_t incarnation,
                    TimePoint now);

  boost::asio::io_context& loop_;
  std::map<std::string, Reported> reported_;  ///< By address.
  UpstreamReportClient reports_;
};

}  // namespace pollenledge
