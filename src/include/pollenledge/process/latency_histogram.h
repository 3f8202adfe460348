#pragma once

#include <memory>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// A histogram of times from 1 ms to 100 s, on a logarithmic axis, by
/// Boost.Histogram. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);

  void Add(Duration duration);

  /// The metric in the Prometheus text format. `labels` stands inside the
  /// braces and may be empty.
  std::string Render(const std::string& name, const std::string& labels) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
