#include "pollenledge/process/entry_stats.h"

#include <sstream>

namespace pollenledge {
namespace {

void RenderRank(Rank rank, const RankStats& stats, std::ostringstream* out) {
  const std::string label = std::string("rank=\"") + ToString(rank) + "\"";
  const auto counter = [&](const char* name, std::uint64_t value) {
    *out << "pollenledge_" << name << '{' << label << "} " << value << '\n';
  };
  counter("requests_arrived_total", stats.arrived);
  counter("requests_completed_total", stats.completed);
  counter("requests_not_run_total", stats.not_run);
  counter("requests_unknown_total", stats.unknown_outcome);
  counter("requests_within_target_total", stats.first_token_within_target);
  counter("tokens_delivered_total", stats.delivered_tokens);
  *out << stats.time_to_first_token.Render("pollenledge_first_token_seconds",
                                           label);
  *out << stats.inter_token_latency.Render("pollenledge_between_tokens_seconds",
                                           label);
}

}  // namespace

std::string RenderMetrics(const EntryStats& stats, const CostLedger& costs,
                          std::size_t active_requests, int live_entries) {
  std::ostringstream out;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    RenderRank(static_cast<Rank>(i), stats.ranks[i], &out);
  }
  for (const auto& [customer, tokens] : stats.tokens_by_customer) {
    out << "pollenledge_customer_tokens_total{customer=\"" << customer << "\"} "
        << tokens << '\n';
  }
  for (const auto& [key, usage] : costs.usage()) {
    out << "pollenledge_slot_seconds_total{customer=\"" << key.customer
        << "\",route=\"" << key.route << "\",rank=\"" << ToString(key.rank)
        << "\",domain=\"" << key.domain << "\",class=\"" << key.machine_class
        << "\",purpose=\"" << ToString(key.purpose) << "\"} "
        << ToSeconds(usage.slot_time) << '\n';
  }
  const auto line = [&out](const char* name, std::uint64_t value) {
    out << "pollenledge_" << name << ' ' << value << '\n';
  };
  line("attempts_total", stats.attempts);
  line("retries_total", stats.retries);
  line("moves_total", stats.failovers);
  line("recomputed_tokens_total", stats.recomputed_tokens);
  line("missed_prefix_tokens_total", stats.missed_prefix_tokens);
  line("outdated_events_total", stats.stale_attempt_events);
  line("quarantines_total", stats.quarantines);
  line("handed_over_total", stats.handed_over_requests);
  line("active_requests", active_requests);
  line("live_entries", static_cast<std::uint64_t>(live_entries));
  return out.str();
}

}  // namespace pollenledge
