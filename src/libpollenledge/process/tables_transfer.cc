#include "pollenledge/process/tables_transfer.h"

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

/// Size of a part, which fits into a datagram with the rest of its message.
constexpr std::size_t kPartBytes = std::size_t{8} * 1024;
/// Parts that answer one request. A node that lost its place in a large
/// document costs the sender no more than this.
constexpr std::size_t kMaxPartsPerRequest = 8;

}  // namespace

std::vector<TablesPart> MakeTablesParts(std::uint64_t version,
                                        const std::string& document,
                                        const TablesRequest& request) {
  if (version <= request.known_version || document.empty() ||
      document.size() > TablesAssembly::kMaxDocumentBytes)
    return {};
  std::size_t offset =
      request.partial_version == version ? request.received_bytes : 0;
  std::vector<TablesPart> parts;
  while (offset < document.size() && parts.size() < kMaxPartsPerRequest) {
    parts.push_back({version, static_cast<std::uint32_t>(document.size()),
                     static_cast<std::uint32_t>(offset),
                     document.substr(offset, kPartBytes)});
    offset += kPartBytes;
  }
  return parts;
}

TablesRequest TablesAssembly::NextRequest(std::uint64_t known_version,
                                          TimePoint now) const {
  return {known_version, version_, static_cast<std::uint32_t>(received_.size()),
          now};
}

std::optional<std::string> TablesAssembly::Add(const TablesPart& part,
                                               std::uint64_t known_version) {
  if (part.version <= known_version || part.document_bytes > kMaxDocumentBytes)
    return std::nullopt;
  if (part.version != version_ && part.offset == 0) {
    version_ = part.version;
    received_.clear();
  }
  const bool is_next =
      part.version == version_ && part.offset == received_.size();
  if (!is_next || part.bytes.size() > part.document_bytes - part.offset)
    return std::nullopt;
  received_ += part.bytes;
  if (received_.size() < part.document_bytes) return std::nullopt;
  version_ = 0;
  return std::exchange(received_, std::string());
}

}  // namespace pollenledge
