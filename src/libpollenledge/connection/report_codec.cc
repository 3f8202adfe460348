#include "report_codec.h"

#include <algorithm>

#include "wire_codec.h"
#include "wire_list.h"

namespace pollenledge {
namespace {

RolloutEvidence FromWire(wire::RolloutEvidence::Reader reader) {
  return {
      reader.getRoute(),      reader.getAtTarget(), reader.getUnderLoad(),
      reader.getAnswers(),    reader.getFailed(),   reader.getStarts(),
      reader.getSlowStarts(), reader.getPaced(),    reader.getSlowlyPaced()};
}

void ToWire(const RolloutEvidence& evidence,
            wire::RolloutEvidence::Builder builder) {
  builder.setRoute(evidence.route);
  builder.setAtTarget(evidence.at_target);
  builder.setUnderLoad(evidence.under_load);
  builder.setAnswers(evidence.answers);
  builder.setFailed(evidence.failed);
  builder.setStarts(evidence.starts);
  builder.setSlowStarts(evidence.slow_starts);
  builder.setPaced(evidence.paced);
  builder.setSlowlyPaced(evidence.slowly_paced);
}

}  // namespace
SuspectReport FromWire(wire::SuspectReport::Reader reader) {
  const Fingerprint fingerprint = FromWire(reader.getFingerprint());
  const Duration age(std::max<std::int64_t>(0, reader.getAgeMicros()));
  const RunPhase phase = ToRunPhase(reader.getPhase());
  if (reader.getCrash() == 0)
    return SoundReport{fingerprint, age, std::max(phase, RunPhase::kWriting)};
  const Duration run_time(std::max<std::int64_t>(0, reader.getRunMicros()));
  return CrashReport{fingerprint, reader.getCrash(), reader.getShared(),
                     age,         run_time,          phase};
}

void ToWire(const SuspectReport& report, wire::SuspectReport::Builder builder) {
  std::visit(
      [&](const auto& typed_report) {
        ToWire(typed_report.fingerprint, builder.initFingerprint());
        builder.setAgeMicros(typed_report.age.count());
      },
      report);
  if (const auto* crash = std::get_if<CrashReport>(&report)) {
    builder.setCrash(crash->crash);
    builder.setShared(crash->shared);
    builder.setRunMicros(crash->run_time.count());
    builder.setPhase(static_cast<std::uint8_t>(crash->phase));
  } else {
    builder.setPhase(
        static_cast<std::uint8_t>(std::get<SoundReport>(report).reached));
  }
}

UpstreamLoadReport FromWire(wire::HeardLoad::Reader reader) {
  return {{reader.getUpstream(), reader.getIncarnation()},
          {reader.getRunning(), reader.getWaiting(), reader.getSlots(),
           reader.getWorkPercent()},
          Duration(reader.getAgeMicros())};
}

void ToWire(const UpstreamLoadReport& report,
            wire::HeardLoad::Builder builder) {
  builder.setUpstream(report.upstream.name);
  builder.setIncarnation(report.upstream.incarnation);
  builder.setRunning(report.load.running);
  builder.setWaiting(report.load.waiting);
  builder.setSlots(report.load.slots);
  builder.setWorkPercent(report.load.service_time_percent);
  builder.setAgeMicros(report.age.count());
}

UsageReport FromWire(wire::UsageReport::Reader reader) {
  UsageReport report;
  report.window = reader.getWindow();
  for (const auto entry : reader.getCounts()) {
    report.counts[entry.getCustomer()] = entry.getCount();
  }
  return report;
}

void ToWire(const UsageReport& report, wire::UsageReport::Builder builder) {
  builder.setWindow(report.window);
  auto counts = builder.initCounts(static_cast<unsigned>(report.counts.size()));
  unsigned next = 0;
  for (const auto& [customer, count] : report.counts) {
    counts[next].setCustomer(customer);
    counts[next].setCount(count);
    ++next;
  }
}

RateLimitReport FromWire(wire::RateLimitReport::Reader reader) {
  return {FromWire(reader.getUpstream()), reader.getRequestsPerSecond(),
          reader.getEnded(),
          Duration(std::max<std::int64_t>(0, reader.getAgeMicros()))};
}

void ToWire(const RateLimitReport& report,
            wire::RateLimitReport::Builder builder) {
  ToWire(report.upstream, builder.initUpstream());
  builder.setRequestsPerSecond(report.requests_per_s);
  builder.setEnded(report.ended);
  builder.setAgeMicros(report.age.count());
}

SpeedReport FromWire(wire::SpeedReport::Reader reader) {
  SpeedReport report;
  report.upstream = reader.getUpstream();
  // A later release may have more kinds; their number is then out of range and
  // `UpstreamSpeeds` ignores the report.
  report.kind = static_cast<SpeedReportKind>(reader.getKind());
  report.value = reader.getValue();
  report.running = reader.getRunning();
  report.weight = reader.getWeight();
  report.age = std::chrono::milliseconds(reader.getAgeMillis());
  return report;
}

void ToWire(const SpeedReport& report, wire::SpeedReport::Builder builder) {
  builder.setUpstream(report.upstream);
  builder.setKind(static_cast<wire::SpeedReport::Kind>(report.kind));
  builder.setValue(report.value);
  builder.setRunning(report.running);
  builder.setWeight(report.weight);
  builder.setAgeMillis(
      static_cast<std::uint32_t>(report.age / std::chrono::milliseconds(1)));
}

PermitCount FromWire(wire::PermitCount::Reader reader) {
  return {FromWire(reader.getUpstream()), reader.getCount()};
}

void ToWire(const PermitCount& permits, wire::PermitCount::Builder builder) {
  ToWire(permits.upstream, builder.initUpstream());
  builder.setCount(permits.count);
}

StreamRecord FromWire(wire::StreamRecord::Reader reader) {
  return {FromWire(reader.getStream()),
          {reader.getService(), reader.getSoftwareVersion()}};
}

void ToWire(const StreamRecord& record, wire::StreamRecord::Builder builder) {
  ToWire(record.stream, builder.initStream());
  builder.setService(record.binding.service);
  builder.setSoftwareVersion(record.binding.software_version);
}

RolloutShare FromWire(wire::RolloutShare::Reader reader) {
  RolloutShare share;
  share.service = reader.getService();
  share.target = reader.getTarget();
  share.order = reader.getOrder();
  share.step = reader.getStep();
  // A malformed share is none.
  const double value = reader.getShare();
  share.share = value >= 0 && value <= 1 ? value : 0;
  share.age = Duration(std::max<std::int64_t>(0, reader.getAgeMicros()));
  share.ended = reader.getEnded();
  for (const auto evidence : reader.getEvidence()) {
    share.evidence.push_back(FromWire(evidence));
  }
  return share;
}

void ToWire(const RolloutShare& share, wire::RolloutShare::Builder builder) {
  builder.setService(share.service);
  builder.setTarget(share.target);
  builder.setOrder(share.order);
  builder.setStep(share.step);
  builder.setShare(share.share);
  builder.setAgeMicros(share.age.count());
  builder.setEnded(share.ended);
  auto evidence =
      builder.initEvidence(static_cast<unsigned>(share.evidence.size()));
  for (unsigned i = 0; i < evidence.size(); ++i) {
    ToWire(share.evidence[i], evidence[i]);
  }
}

void MergeFromWire(wire::PromptCacheReport::Reader reader,
                   PromptCacheReport* report) {
  ListFromWire(reader.getAdded(), &report->added);
  ListFromWire(reader.getEvicted(), &report->evicted);
  ListFromWire(reader.getFollowed(), &report->followed);
  ListFromWire(reader.getReset(), &report->reset);
}

void ToWire(const PromptCacheReport& report,
            wire::PromptCacheReport::Builder builder) {
  ListToWire(report.added, builder.initAdded(ListSize(report.added)));
  ListToWire(report.evicted, builder.initEvicted(ListSize(report.evicted)));
  ListToWire(report.followed, builder.initFollowed(ListSize(report.followed)));
  ListToWire(report.reset, builder.initReset(ListSize(report.reset)));
}

}  // namespace pollenledge
