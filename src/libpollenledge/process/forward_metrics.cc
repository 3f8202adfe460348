#include "pollenledge/process/forward_metrics.h"

#include <sstream>

namespace pollenledge {
namespace {

constexpr char kMetricPrefix[] = "pollenledge_";

std::string BracedLabels(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

void ForwardMetrics::IncrementCounter(const std::string& name,
                                      const std::string& labels,
                                      std::uint64_t count) {
  counters_[{name, labels}] += count;
}

void ForwardMetrics::SetGauge(const std::string& name, double value) {
  gauges_[name] = value;
}

void ForwardMetrics::Observe(const std::string& name, const std::string& labels,
                             Duration duration) {
  histograms_[{name, labels}].Add(duration);
}

std::string ForwardMetrics::Render() const {
  std::ostringstream out;
  for (const auto& [key, value] : counters_) {
    out << kMetricPrefix << key.first << BracedLabels(key.second) << ' '
        << value << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    out << kMetricPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [key, histogram] : histograms_) {
    out << histogram.Render(kMetricPrefix + key.first, key.second);
  }
  return out.str();
}

}  // namespace pollenledge
