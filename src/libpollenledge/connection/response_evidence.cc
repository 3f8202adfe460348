#include "pollenledge/connection/response_evidence.h"

namespace pollenledge {
namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

}  // namespace

const char* ToString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
  }
  return "";
}

BodyFraming FramingOf(const HttpHead& response) {
  const bool has_no_body = response.status == kStatusNoContent ||
                           response.status == kStatusNotModified;
  if (has_no_body) return BodyFraming::kNone;
  if (response.Find("Transfer-Encoding") != nullptr)
    return BodyFraming::kChunks;
  if (response.Find("Content-Length") != nullptr) return BodyFraming::kLength;
  return BodyFraming::kConnectionEnd;
}

bool BelongsToRequest(const ResponseEvidence& response) {
  if (response.names_request || response.earlier_requests == 0) return true;
  const bool follows_report =
      response.earlier_requests == 1 && response.report_status.has_value();
  return follows_report && response.status != *response.report_status;
}

}  // namespace pollenledge
