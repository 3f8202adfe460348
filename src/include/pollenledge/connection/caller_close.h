#pragma once

#include <cstddef>
#include <cstdint>

#include "pollenledge/time.h"

namespace pollenledge {

/// Why a caller's connection was closed.
enum class CallerCloseCause : std::uint8_t {
  kResponded,      ///< After a response that carried `Connection: close`.
  kRefused,        ///< After the response to an incomplete request.
  kCallerClosed,   ///< The caller closed or reset it.
  kIdleTimeout,    ///< No request began in time.
  kHeadTimeout,    ///< The head of a request was not complete in time.
  kOutputTimeout,  ///< The caller took no output in time.
  kTooMuchOutput,  ///< The caller left too much output untaken.
  kEvicted,        ///< To make room for other clients.
  kNoRoom,         ///< The process had as many connections as it may.
  kAborted,        ///< The owner aborted the response.
  kDrained,        ///< It was idle and the process stops.
};

/// Returns the name of `cause` as used in logs and metrics.
const char* ToString(CallerCloseCause cause);

/// The state of a caller's connection at the moment at which it was closed.
struct CallerClose {
  CallerCloseCause cause = CallerCloseCause::kResponded;
  /// A whole request had no complete response.
  bool response_pending = false;
  /// Bytes that the caller sent and that the process had not read.
  std::size_t unread_bytes = 0;
  /// Bytes that were read and belong to no request that was handed on.
  std::size_t buffered_bytes = 0;
  /// Time since bytes were last read, or since the connection was opened.
  Duration since_read{0};
  /// By how much the deadline had passed; zero if there was none.
  Duration overdue{0};
  /// The idle timeout that applied to the connection.
  Duration idle_timeout{0};

  /// True if the process ended the connection although a request, or a part of
  /// one, had no response.
  bool LosesRequest() const {
    return cause != CallerCloseCause::kCallerClosed &&
           cause != CallerCloseCause::kRefused &&
           (response_pending || unread_bytes > 0 || buffered_bytes > 0);
  }

  friend bool operator==(const CallerClose&, const CallerClose&) = default;
};

}  // namespace pollenledge
