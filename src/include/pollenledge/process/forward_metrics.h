#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pollenledge/process/latency_histogram.h"

namespace pollenledge {

/// Registry of one process's counters, gauges and latency histograms, keyed by
/// name and labels.
///
/// Not thread-safe. Memory grows with the number of distinct label values, so
/// label values must come from the tables and never from requests.
class ForwardMetrics {
 public:
  /// Adds `count` to a counter. `labels` is the text between the braces of the
  /// Prometheus format and may be empty.
  void IncrementCounter(const std::string& name, const std::string& labels = "",
                        std::uint64_t count = 1);
  /// Sets a gauge, which has no labels.
  void SetGauge(const std::string& name, double value);
  /// Adds `duration` to a latency histogram.
  void Observe(const std::string& name, const std::string& labels,
               Duration duration);

  /// Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  using Key = std::pair<std::string, std::string>;

  std::map<Key, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<Key, LatencyHistogram> histograms_;
};

}  // namespace pollenledge
