#include <poll.h>

#include <algorithm>

#include "pollenledge/connection/caller_connection.h"
#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/connection/socket_readiness.h"

// The deadlines of a caller's connection, and what tells a silent caller from a
// late event loop, in `CallerConnection`.

namespace pollenledge {

using SystemError = boost::system::error_code;

void CallerConnection::UpdateLimits() {
  const CallerLimits limits = handlers_->limits();
  if (limits == limits_) return;
  limits_ = limits;
  reader_.SetLimits(limits.max_header_bytes, limits.max_body_bytes);
}

Duration CallerConnection::IdleTimeout() const {
  if (has_no_room_) return kFirstRequestTime;
  return std::max(limits_.idle_timeout, handlers_->limits().idle_timeout) +
         handlers_->limits_delay;
}

bool CallerConnection::HasUnhandledProgress() {
  // What is discarded after a refusal is bounded by time alone.
  if (state_ == State::kDiscarding) return false;
  const int events = (reading_ ? POLLIN : 0) | (writing_ ? POLLOUT : 0);
  return IsReady(socket_.native_handle(), static_cast<std::int16_t>(events));
}

bool CallerConnection::HasCallerLeft() {
  // Operators' requests begin nothing that is wasted on them.
  if (handlers_->group == ClientGroup::kOperators) return false;
  return IsReady(socket_.native_handle(), POLLRDHUP);
}

bool CallerConnection::HasUncountedProgress() {
  SystemError ignored;  // A connection that was lost has no bytes to handle.
  switch (CurrentActivity()) {
    case ByteBudget::Activity::kIdle:
    case ByteBudget::Activity::kReceiving:
      return reading_ && socket_.available(ignored) > 0;
    case ByteBudget::Activity::kSending:
      return writing_ && IsReadyAndConnected(socket_.native_handle(), POLLOUT);
    case ByteBudget::Activity::kServing:
    case ByteBudget::Activity::kClosing:
      return false;
  }
  return false;
}

std::optional<TimePoint> CallerConnection::NextDeadline() const {
  const TimePoint output_deadline = output_progress_at_ + limits_.idle_timeout;
  switch (state_) {
    case State::kReadingRequest:
      return writing_ ? std::min(deadline_, output_deadline) : deadline_;
    case State::kIdle: {
      const TimePoint idle_deadline = idle_since_ + IdleTimeout();
      return writing_ ? std::max(idle_deadline, output_deadline)
                      : idle_deadline;
    }
    case State::kDiscarding:
      return deadline_;
    default:
      return writing_ ? std::optional(output_deadline) : std::nullopt;
  }
}

void CallerConnection::ArmTimer() {
  const std::optional<TimePoint> deadline = NextDeadline();
  if (!open_ || !deadline.has_value() ||
      (armed_deadline_.has_value() && *armed_deadline_ <= *deadline)) {
    return;
  }
  armed_deadline_ = deadline;
  timer_.expires_after(std::max<Duration>(*deadline - BootClockNow(),
                                          std::chrono::milliseconds(1)));
  auto self = shared_from_this();
  timer_.async_wait([this, self](const SystemError& error) {
    if (error) return;  // The timer was rearmed or cancelled.
    armed_deadline_.reset();
    OnTimer();
  });
}

void CallerConnection::OnTimer() {
  const std::optional<TimePoint> deadline = NextDeadline();
  if (!open_ || !deadline.has_value()) return;
  if (BootClockNow() < *deadline) {
    ArmTimer();
    return;
  }
  // The loop was late, not the caller. The handler arms the timer again.
  if (HasUnhandledProgress()) return;
  if (state_ == State::kReadingRequest && head_admitted_ && !writing_) {
    Refuse(408);
  } else {
    GiveUp(TimeoutCause());
  }
}

CallerCloseCause CallerConnection::TimeoutCause() const {
  if (state_ == State::kDiscarding) return CallerCloseCause::kRefused;
  if (has_no_room_) return CallerCloseCause::kNoRoom;
  if (writing_) return CallerCloseCause::kOutputTimeout;
  return state_ == State::kIdle ? CallerCloseCause::kIdleTimeout
                                : CallerCloseCause::kHeadTimeout;
}

}  // namespace pollenledge
