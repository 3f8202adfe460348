#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "pollenledge/request/stream_binding.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Bindings of streams that a node of a large fleet tells a collector with its
/// queries, until the collector responds. Deterministic; not thread-safe.
class StreamOutbox {
 public:
  /// Maximum number of records in one query.
  static constexpr std::size_t kMaxRecordsPerQuery = 64;
  /// Maximum number of records that wait. The oldest are dropped.
  static constexpr std::size_t kMaxWaiting = 4096;

  void Add(const std::vector<StreamRecord>& records) {
    waiting_.insert(waiting_.end(), records.begin(), records.end());
    if (waiting_.size() <= kMaxWaiting) return;
    const std::size_t dropped = waiting_.size() - kMaxWaiting;
    Drop(dropped);
    in_query_ -= std::min(in_query_, dropped);
  }

  /// Returns the records for a query sent to `collector` at `queried_at`. They
  /// are returned again until `OnResponse`.
  std::vector<StreamRecord> RecordsForQuery(const std::string& collector,
                                            TimePoint queried_at) {
    collector_ = collector;
    queried_at_ = queried_at;
    in_query_ = std::min(waiting_.size(), kMaxRecordsPerQuery);
    return {waiting_.begin(),
            waiting_.begin() + static_cast<std::ptrdiff_t>(in_query_)};
  }

  /// The collector responded to the query of that time.
  void OnResponse(const std::string& collector, TimePoint queried_at) {
    if (collector != collector_ || queried_at != queried_at_) return;
    Drop(in_query_);
    in_query_ = 0;
  }

 private:
  void Drop(std::size_t count) {
    waiting_.erase(waiting_.begin(),
                   waiting_.begin() + static_cast<std::ptrdiff_t>(count));
  }

  std::deque<StreamRecord> waiting_;
  std::size_t in_query_ = 0;  ///< Number of records in the last query.
  std::string collector_;     ///< Of the last query.
  TimePoint queried_at_;      ///< Time of the last query.
};

}  // namespace pollenledge
