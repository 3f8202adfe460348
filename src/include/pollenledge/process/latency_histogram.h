#pragma once

#include <memory>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// A histogram of durations from 1 ms to 100 s with logarithmic buckets,
/// implemented with Boost.Histogram. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);

  void Add(Duration duration);

  /// Renders the metric in the Prometheus text format. `labels` is the text
  /// between the braces and may be empty.
  std::string Render(const std::string& name, const std::string& labels) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
