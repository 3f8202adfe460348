#include "pollenledge/process/rollout_plan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr std::array kPhases = {RolloutPhase::kObserving, RolloutPhase::kMoving,
                                RolloutPhase::kCompleted,
                                RolloutPhase::kReverted};

RolloutPhase ParsePhase(const std::string& name) {
  for (const RolloutPhase phase : kPhases) {
    if (name == ToString(phase)) return phase;
  }
  throw std::invalid_argument("phase \"" + name + "\" is unknown");
}

Json ToJson(const RolloutEvidence& row) {
  return Json::array({row.route, row.at_target, row.under_load, row.answers,
                      row.failed, row.starts, row.slow_starts, row.paced,
                      row.slowly_paced});
}

RolloutEvidence EvidenceFromJson(const Json& json) {
  return {json.at(0).get<std::string>(),   json.at(1).get<bool>(),
          json.at(2).get<bool>(),          json.at(3).get<std::uint32_t>(),
          json.at(4).get<std::uint32_t>(), json.at(5).get<std::uint32_t>(),
          json.at(6).get<std::uint32_t>(), json.at(7).get<std::uint32_t>(),
          json.at(8).get<std::uint32_t>()};
}

std::string FormatProbability(double probability) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.1e", probability);
  return text.data();
}

std::int64_t Micros(WallTime at) { return at.time_since_epoch().count(); }

}  // namespace

const char* ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kObserving:
      return "observing";
    case RolloutPhase::kMoving:
      return "moving";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kReverted:
      return "reverted";
  }
  return "";
}

RolloutRecord RolloutPlan::Begin(const RolloutOrder& order, std::string base,
                                 double exposure_share, WallTime now) {
  RolloutRecord record;
  record.order = order;
  record.base = std::move(base);
  record.began_at = now;
  record.stepped_at = now;
  if (order.target == record.base) {
    // An order back to the version that the requests come from needs no proof.
    record.phase = RolloutPhase::kMoving;
    record.share = 1;
    record.reason = "the target serves already";
    return record;
  }
  record.share = kFirstPart * exposure_share;
  record.reason = "ordered";
  return record;
}

WallTime RolloutPlan::CompleteAt() const {
  // In a window that is too short for the margin, half of it is left.
  return record_.began_at +
         std::max<Duration>(record_.order.duration - kCompletionMargin,
                            record_.order.duration / 2);
}

WallTime RolloutPlan::MoveAt() const {
  const Duration ending =
      std::clamp(FromSeconds(kEndingPart * ToSeconds(record_.order.duration)),
                 kMinEndingTime, kMaxEndingTime);
  return CompleteAt() - ending - kMovingStepTime;
}

std::optional<RolloutRecord> RolloutPlan::Next(const RolloutView& view,
                                               WallTime now) {
  if (record_.ended()) return std::nullopt;
  if (reverting_.has_value()) return reverting_;
  judgement_ = JudgeRollout(evidence_.Total(), exposure_share_);
  std::optional<RolloutRecord> next;
  if (!view.is_ordered) {
    next = Revert("the order was withdrawn", now);
  } else if (IsProvenBad()) {
    next = Revert("bad: " + Evidence(), now);
  } else {
    next = record_.phase == RolloutPhase::kObserving ? Observe(view, now)
                                                     : Move(view, now);
  }
  if (next.has_value() && next->phase == RolloutPhase::kReverted)
    reverting_ = next;
  return next;
}

bool RolloutPlan::IsProvenBad() const {
  if (judgement_.verdict != RolloutVerdict::kBad ||
      record_.order.target == record_.base)
    return false;
  // All requests at once fill the caches of the target, which makes a good
  // version slow for a while.
  const bool is_failure = judgement_.subject.ends_with(": failed");
  return record_.phase == RolloutPhase::kObserving || is_failure ||
         2 * judgement_.target.bad >= judgement_.target.total;
}

std::optional<RolloutRecord> RolloutPlan::Observe(const RolloutView& view,
                                                  WallTime now) {
  const bool is_supported = judgement_.verdict == RolloutVerdict::kSupported &&
                            view.target_upstreams > 0;
  if (now >= MoveAt()) {
    if (is_supported && now < CompleteAt() - kMinEndingTime) {
      return Step(RolloutPhase::kMoving, kMovingShare,
                  "supported: " + Evidence(), now);
    }
    // While running requests of the other version still have time to end, more
    // evidence may come.
    if (now < CompleteAt() - kMinEndingTime) return std::nullopt;
    return Revert(
        view.target_upstreams == 0
            ? std::string("the target has no upstreams")
            : std::string(ToString(judgement_.verdict)) + ": " + Evidence(),
        now);
  }
  const double observing_share = kObservingPart * exposure_share_;
  const bool is_doubtful = judgement_.verdict == RolloutVerdict::kDoubtful;
  if (record_.share < observing_share && !is_doubtful &&
      view.target_upstreams > 0 && now - record_.stepped_at >= kFirstStepTime) {
    return Step(RolloutPhase::kObserving, observing_share,
                "no doubt: " + Evidence(), now);
  }
  return std::nullopt;
}

std::optional<RolloutRecord> RolloutPlan::Move(const RolloutView& view,
                                               WallTime now) {
  if (record_.share < 1) {
    if (now - record_.stepped_at < kMovingStepTime) return std::nullopt;
    return Step(RolloutPhase::kMoving, 1, "moved: " + Evidence(), now);
  }
  // Requests that were sent to the other version just before must have had time
  // to end, also if a new holder of the duties goes on late.
  if (now < CompleteAt()) return std::nullopt;
  if (view.target_upstreams == 0)
    return Revert("the target has no upstreams", now);
  return Step(RolloutPhase::kCompleted, 1, "moved: " + Evidence(), now);
}

RolloutRecord RolloutPlan::Step(RolloutPhase phase, double share,
                                std::string reason, WallTime now) const {
  RolloutRecord next = record_;
  next.phase = phase;
  ++next.step;
  next.share = share;
  next.stepped_at = now;
  next.evidence = evidence_.Total();
  next.reason = std::move(reason);
  return next;
}

RolloutRecord RolloutPlan::Revert(std::string reason, WallTime now) const {
  return Step(RolloutPhase::kReverted, 0, std::move(reason), now);
}

std::string RolloutPlan::Evidence() const {
  const auto format = [](const BadCount& count) {
    return std::to_string(count.bad) + "/" + std::to_string(count.total);
  };
  if (judgement_.subject.empty()) {
    BadCount answers;
    for (const RolloutEvidence& row : evidence_.Total()) {
      if (!row.at_target) continue;
      answers.bad += row.failed;
      answers.total += row.answers;
    }
    return "failed " + format(answers) + " at the target";
  }
  return judgement_.subject + " " + format(judgement_.target) +
         " at the target, " + format(judgement_.others) +
         " at others, probability " + FormatProbability(judgement_.probability);
}

void RolloutPlan::OnStored(const RolloutRecord& record) {
  record_ = record;
  if (record_.ended()) reverting_.reset();
}

RolloutShare RolloutPlan::CurrentShare() const {
  const RolloutRecord& record = reverting_.value_or(record_);
  RolloutShare share;
  share.service = record.order.service;
  share.target = record.order.target;
  share.order = record.order.revision;
  share.step = record.step;
  share.share = record.share;
  share.ended = record.ended();
  return share;
}

std::string EncodeRolloutRecord(const RolloutRecord& record) {
  Json evidence = Json::array();
  for (const RolloutEvidence& row : record.evidence) {
    evidence.push_back(ToJson(row));
  }
  return Json{{"service", record.order.service},
              {"target", record.order.target},
              {"duration_us", record.order.duration.count()},
              {"order", record.order.revision},
              {"base", record.base},
              {"phase", ToString(record.phase)},
              {"step", record.step},
              {"share", record.share},
              {"began_us", Micros(record.began_at)},
              {"stepped_us", Micros(record.stepped_at)},
              {"evidence", std::move(evidence)},
              {"reason", record.reason}}
      .dump();
}

Result<RolloutRecord> DecodeRolloutRecord(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    RolloutRecord record;
    record.order = {json.at("service").get<std::string>(),
                    json.at("target").get<std::string>(),
                    Duration(json.at("duration_us").get<std::int64_t>()),
                    json.at("order").get<std::int64_t>()};
    record.base = json.at("base").get<std::string>();
    record.phase = ParsePhase(json.at("phase").get<std::string>());
    record.step = json.at("step").get<std::uint32_t>();
    record.share = json.at("share").get<double>();
    record.began_at =
        WallTime(Duration(json.at("began_us").get<std::int64_t>()));
    record.stepped_at =
        WallTime(Duration(json.at("stepped_us").get<std::int64_t>()));
    for (const Json& row : json.at("evidence")) {
      record.evidence.push_back(EvidenceFromJson(row));
    }
    record.reason = json.at("reason").get<std::string>();
    return record;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument,
                 std::string("the roll-out is malformed: ") + error.what()};
  }
}

}  // namespace pollenledge
