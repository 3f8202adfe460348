#include "pollenledge/process/latency_histogram.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace pollenledge {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;

// Number and range of the buckets, which are equally wide on a log scale.
constexpr unsigned kBucketCount = 40;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 100;

}  // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(
      Axis(kBucketCount, kMinSeconds, kMaxSeconds))) counts =
      bh::make_histogram(Axis(kBucketCount, kMinSeconds, kMaxSeconds));
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  *impl_ = *other.impl_;
  return *this;
}

void LatencyHistogram::Add(Duration duration) {
  const double seconds = ToSeconds(duration);
  impl_->counts(seconds);
  impl_->sum_seconds += seconds;
}

std::string LatencyHistogram::Render(const std::string& name,
                                     const std::string& labels) const {
  std::ostringstream out;
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  // Durations below the first bucket's lower edge count in every bucket.
  double cumulative = impl_->counts.at(-1);
  for (auto&& bin : bh::indexed(impl_->counts)) {
    cumulative += *bin;
    out << name << "_bucket{" << prefix << "le=\"" << bin.bin().upper()
        << "\"} " << cumulative << '\n';
  }
  cumulative += impl_->counts.at(static_cast<int>(kBucketCount));
  out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative << '\n';
  out << name << "_sum" << braces << ' ' << impl_->sum_seconds << '\n';
  out << name << "_count" << braces << ' ' << cumulative << '\n';
  return out.str();
}

}  // namespace pollenledge
