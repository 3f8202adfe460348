#include "pollenledge/process/rollout_evidence.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <functional>
#include <utility>

namespace pollenledge {
namespace {

/// Error probability of the confidence bound of the other versions' share.
constexpr double kBoundLevel = 1e-3;
/// Error probability of one test that proves a target bad. A roll-out has at
/// most some hundred looks at some ten tests, so a good version is reverted in
/// at most one of a hundred roll-outs (union bound).
constexpr double kProofLevel = 1e-6;
/// Probability from which on a target is doubtful. It is not moved to, but more
/// evidence may still clear it.
constexpr double kDoubtLevel = 1e-2;

/// A target may have this many times the bad share of the other versions, and
/// this much in addition: it serves a random part of the requests at other
/// upstreams.
constexpr double kToleratedRatio = 1.5;
constexpr double kToleratedFailures = 0.005;
/// The upstreams of the target have no prompts in their caches yet.
constexpr double kToleratedSlow = 0.05;

/// Observations at the target that a decision for it needs.
constexpr std::int64_t kMinAnswers = 30;
/// Observations on each route that can be expected to have as many.
constexpr std::int64_t kMinRouteAnswers = 10;

/// The counts of one kind of observation of a row.
struct Kind {
  const char* name;
  std::uint32_t RolloutEvidence::*bad;
  std::uint32_t RolloutEvidence::*total;
  double tolerated_share;
};

constexpr Kind kKinds[] = {{"failed", &RolloutEvidence::failed,
                            &RolloutEvidence::answers, kToleratedFailures},
                           {"slow", &RolloutEvidence::slow_starts,
                            &RolloutEvidence::starts, kToleratedSlow},
                           {"slowly paced", &RolloutEvidence::slowly_paced,
                            &RolloutEvidence::paced, kToleratedSlow}};

using RowFilter = std::function<bool(const RolloutEvidence&)>;

BadCount Sum(const std::vector<RolloutEvidence>& rows, const Kind& kind,
             bool at_target, const RowFilter& includes) {
  BadCount sum;
  for (const RolloutEvidence& row : rows) {
    if (row.at_target != at_target || !includes(row)) continue;
    sum.bad += row.*kind.bad;
    sum.total += row.*kind.total;
  }
  return sum;
}

/// Compares one kind of observation in some of the rows and keeps the test that
/// speaks most against the target.
void Test(const std::vector<RolloutEvidence>& rows, const Kind& kind,
          const std::string& subject, const RowFilter& includes,
          RolloutJudgement* worst) {
  const BadCount target = Sum(rows, kind, true, includes);
  const BadCount others = Sum(rows, kind, false, includes);
  const double probability =
      WorseByChance(target, others, kToleratedRatio, kind.tolerated_share);
  if (probability >= worst->probability) return;
  worst->probability = probability;
  worst->subject = subject + ": " + kind.name;
  worst->target = target;
  worst->others = others;
}

bool IsSameRow(const RolloutEvidence& a, const RolloutEvidence& b) {
  return a.route == b.route && a.at_target == b.at_target &&
         a.under_load == b.under_load;
}

RolloutEvidence* FindRow(std::vector<RolloutEvidence>* rows,
                         const RolloutEvidence& like) {
  for (RolloutEvidence& row : *rows) {
    if (IsSameRow(row, like)) return &row;
  }
  rows->push_back({.route = like.route,
                   .at_target = like.at_target,
                   .under_load = like.under_load});
  return &rows->back();
}

void Add(RolloutEvidence* sum, const RolloutEvidence& counts) {
  sum->answers += counts.answers;
  sum->failed += counts.failed;
  sum->starts += counts.starts;
  sum->slow_starts += counts.slow_starts;
  sum->paced += counts.paced;
  sum->slowly_paced += counts.slowly_paced;
}

/// Returns true if the target has as many observations as can be expected on
/// each route.
bool IsSufficient(const std::vector<RolloutEvidence>& rows,
                  double exposure_share) {
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> answers;
  std::int64_t at_target = 0;
  for (const RolloutEvidence& row : rows) {
    auto& [target, others] = answers[row.route];
    (row.at_target ? target : others) += row.answers;
    if (row.at_target) at_target += row.answers;
  }
  if (at_target < kMinAnswers) return false;
  // Half of what the share allows: answers at the target are counted later than
  // those before the order.
  constexpr double kExpectedPart = 0.5;
  return std::all_of(
      answers.begin(), answers.end(), [exposure_share](const auto& entry) {
        const auto& [target, others] = entry.second;
        const double expected =
            kExpectedPart * exposure_share * static_cast<double>(others);
        return target >= kMinRouteAnswers ||
               expected < static_cast<double>(kMinRouteAnswers);
      });
}

}  // namespace

double WorseByChance(const BadCount& target, const BadCount& others,
                     double tolerated_ratio, double tolerated_share) {
  // Without promotion to long double, which some processors emulate.
  using Policy = boost::math::policies::policy<
      boost::math::policies::promote_double<false>>;
  using Binomial = boost::math::binomial_distribution<double, Policy>;
  if (target.bad <= 0 || target.total <= 0 || others.total <= 0) return 1;
  const double bad = static_cast<double>(std::min(target.bad, target.total));
  const double bound = others.bad >= others.total
                           ? 1
                           : Binomial::find_upper_bound_on_p(
                                 static_cast<double>(others.total),
                                 static_cast<double>(others.bad), kBoundLevel);
  const double tolerated = tolerated_ratio * bound + tolerated_share;
  if (tolerated >= 1) return 1;
  const Binomial distribution(static_cast<double>(target.total), tolerated);
  return boost::math::cdf(boost::math::complement(distribution, bad - 1));
}

const char* ToString(RolloutVerdict verdict) {
  switch (verdict) {
    case RolloutVerdict::kInsufficient:
      return "insufficient";
    case RolloutVerdict::kSupported:
      return "supported";
    case RolloutVerdict::kDoubtful:
      return "doubtful";
    case RolloutVerdict::kBad:
      return "bad";
  }
  return "";
}

void RolloutEvidenceSum::Update(const std::string& process,
                                const std::vector<RolloutEvidence>& counts) {
  by_process_[process] = counts;
}

std::vector<RolloutEvidence> RolloutEvidenceSum::Total() const {
  std::vector<RolloutEvidence> total;
  for (const auto& [process, rows] : by_process_) {
    for (const RolloutEvidence& row : rows) Add(FindRow(&total, row), row);
  }
  const auto observations = [](const RolloutEvidence& row) {
    return row.answers + row.starts + row.paced;
  };
  for (const RolloutEvidence& stored : stored_) {
    RolloutEvidence* row = FindRow(&total, stored);
    if (observations(stored) > observations(*row)) *row = stored;
  }
  return total;
}

RolloutJudgement JudgeRollout(const std::vector<RolloutEvidence>& evidence,
                              double exposure_share) {
  std::vector<std::string> routes;
  for (const RolloutEvidence& row : evidence) {
    if (std::find(routes.begin(), routes.end(), row.route) == routes.end())
      routes.push_back(row.route);
  }
  RolloutJudgement worst;
  for (const Kind& kind : kKinds) {
    for (const std::string& route : routes) {
      Test(
          evidence, kind, route,
          [&route](const RolloutEvidence& row) { return row.route == route; },
          &worst);
      for (const bool under_load : {false, true}) {
        Test(
            evidence, kind, route + (under_load ? " under load" : " at rest"),
            [&route, under_load](const RolloutEvidence& row) {
              return row.route == route && row.under_load == under_load;
            },
            &worst);
      }
    }
  }
  // Slow is relative to the route, so that all routes can be summed.
  for (const Kind& kind : kKinds) {
    Test(
        evidence, kind, "all routes",
        [](const RolloutEvidence&) { return true; }, &worst);
  }
  if (worst.probability < kProofLevel) {
    worst.verdict = RolloutVerdict::kBad;
  } else if (worst.probability < kDoubtLevel) {
    worst.verdict = RolloutVerdict::kDoubtful;
  } else {
    worst.verdict = IsSufficient(evidence, exposure_share)
                        ? RolloutVerdict::kSupported
                        : RolloutVerdict::kInsufficient;
  }
  return worst;
}

}  // namespace pollenledge
