#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pollenledge/process/latency_histogram.h"

namespace pollenledge {

/// Counters, gauges and latency histograms of one process, by name and labels.
/// Not thread-safe. Memory grows with the label values that are used; callers
/// take them from tables, not from requests.
class ForwardMetrics {
 public:
  /// `labels` stands inside the braces of the Prometheus format; may be empty.
  void Count(const std::string& name, const std::string& labels = "",
             std::uint64_t count = 1);
  void SetGauge(const std::string& name, double value);
  void Observe(const std::string& name, const std::string& labels,
               Duration duration);

  /// All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  using Key = std::pair<std::string, std::string>;

  std::map<Key, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<Key, LatencyHistogram> histograms_;
};

}  // namespace pollenledge
