#include "pollenledge/request/forward_request.h"

namespace pollenledge {

const char* ToString(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kCompleted:
      return "completed";
    case ForwardOutcome::kNotSent:
      return "not_sent";
    case ForwardOutcome::kRejected:
      return "refused";
    case ForwardOutcome::kFailed:
      return "failed";
    case ForwardOutcome::kConnectionLost:
      return "broken";
    case ForwardOutcome::kInvalidResponse:
      return "invalid";
    case ForwardOutcome::kCancelled:
      return "moved";
  }
  return "?";
}

void SetContentFingerprints(const std::string& target, const std::string& body,
                            ForwardSpec* spec) {
  spec->content_fingerprint = ComputeFingerprint({target, body});
  if (target != spec->path)
    spec->path_fingerprint = ComputeFingerprint({spec->path, body});
}

std::vector<std::uint64_t> SharedSegmentIds(const ForwardSpec& spec) {
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i + 1 < spec.prompt_segments.size(); ++i) {
    ids.push_back(spec.prompt_segments[i].id);
  }
  return ids;
}

}  // namespace pollenledge
