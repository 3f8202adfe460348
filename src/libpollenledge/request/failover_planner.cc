#include "pollenledge/request/failover_planner.h"

#include <algorithm>
#include <tuple>

namespace pollenledge {
namespace {

Duration TransferTime(const FailoverStream& stream,
                      const FailoverCosts& costs) {
  const double bytes =
      static_cast<double>(stream.computed_tokens) * costs.kv_bytes_per_token;
  return costs.transfer_setup_time +
         FromSeconds(bytes / costs.network_bytes_per_s);
}

bool FinishesWithin(const FailoverStream& stream, Duration limit) {
  return stream.inter_token_time * stream.remaining_tokens <= limit;
}

}  // namespace

std::vector<StreamFailover> PlanFailovers(std::vector<FailoverStream> streams,
                                          std::optional<Duration> remaining,
                                          const FailoverCosts& costs) {
  // Every transfer has the same setup time, so a longer cache saves more
  // recomputation per second of transfer.
  std::sort(streams.begin(), streams.end(),
            [](const FailoverStream& a, const FailoverStream& b) {
              return std::tie(a.rank, b.computed_tokens, a.id) <
                     std::tie(b.rank, a.computed_tokens, b.id);
            });
  const Duration usable_time =
      remaining.value_or(Duration(0)) - costs.safety_margin;
  Duration transfer_end{0};
  std::vector<StreamFailover> moves;
  moves.reserve(streams.size());
  for (const FailoverStream& stream : streams) {
    if (FinishesWithin(stream, usable_time)) {
      moves.push_back({stream.id, FailoverKind::kFinishInPlace});
      continue;
    }
    const Duration stream_transfer_end =
        transfer_end + TransferTime(stream, costs);
    if (stream_transfer_end <= usable_time &&
        stream.computed_tokens >= costs.min_tokens_to_transfer) {
      transfer_end = stream_transfer_end;
      moves.push_back({stream.id, FailoverKind::kTransferCache});
    } else {
      moves.push_back({stream.id, FailoverKind::kRecompute});
    }
  }
  return moves;
}

}  // namespace pollenledge
