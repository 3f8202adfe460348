#pragma once

#include "pollenledge/time.h"

namespace pollenledge {

/// Bounds how many log lines of one kind are written, and counts those that
/// are left out. Not thread-safe.
class LogLineLimit {
 public:
  /// Allows `lines` lines in each `window`, which begins with its first line.
  LogLineLimit(int lines, Duration window) : lines_(lines), window_(window) {}

  /// Returns true if a line may be written at `now`; else counts it as left
  /// out.
  bool TryWrite(TimePoint now) {
    if (!window_began_ || now - began_at_ >= window_) {
      window_began_ = true;
      began_at_ = now;
      written_ = 0;
    }
    if (written_ >= lines_) {
      ++left_out_;
      return false;
    }
    ++written_;
    return true;
  }

  /// Returns the number of lines left out since the last call.
  int TakeLeftOut() {
    const int left_out = left_out_;
    left_out_ = 0;
    return left_out;
  }

 private:
  int lines_;
  Duration window_;
  bool window_began_ = false;
  TimePoint began_at_;
  int written_ = 0;  ///< In the current window.
  int left_out_ = 0;
};

}  // namespace pollenledge
