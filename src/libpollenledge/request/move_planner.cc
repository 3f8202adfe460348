#include "pollenledge/request/move_planner.h"

#include <algorithm>
#include <tuple>

namespace pollenledge {
namespace {

Duration TransferTime(const StreamToMove& stream, const MoveCosts& costs) {
  const double bytes =
      static_cast<double>(stream.computed_tokens) * costs.kv_bytes_per_token;
  return costs.transfer_setup + FromSeconds(bytes / costs.bytes_per_s);
}

bool FinishesWithin(const StreamToMove& stream, Duration limit) {
  return stream.between_tokens * stream.remaining_tokens <= limit;
}

}  // namespace

std::vector<StreamMove> PlanMoves(std::vector<StreamToMove> streams,
                                  std::optional<Duration> remaining,
                                  const MoveCosts& costs) {
  // Every transfer has the same setup time, so a longer cache saves more
  // recomputation per second of transfer.
  std::sort(streams.begin(), streams.end(),
            [](const StreamToMove& a, const StreamToMove& b) {
              return std::tie(a.rank, b.computed_tokens, a.id) <
                     std::tie(b.rank, a.computed_tokens, b.id);
            });
  const Duration usable_time = remaining.value_or(Duration(0)) - costs.margin;
  Duration transfer_end{0};
  std::vector<StreamMove> moves;
  moves.reserve(streams.size());
  for (const StreamToMove& stream : streams) {
    if (FinishesWithin(stream, usable_time)) {
      moves.push_back({stream.id, MoveKind::kStay});
      continue;
    }
    const Duration stream_transfer_end =
        transfer_end + TransferTime(stream, costs);
    if (stream_transfer_end <= usable_time &&
        stream.computed_tokens >= costs.min_tokens_worth_moving) {
      transfer_end = stream_transfer_end;
      moves.push_back({stream.id, MoveKind::kMoveCache});
    } else {
      moves.push_back({stream.id, MoveKind::kRecompute});
    }
  }
  return moves;
}

}  // namespace pollenledge
