#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Asks another node whether its tables are later than the sender's, for the
/// document of these, and how long ago the node's tables were confirmed.
struct TablesRequest {
  std::uint64_t known_version = 0;  ///< Of the sender's tables; 0: it has none.
  /// The version of which the sender has the first `received_bytes`; 0: none.
  std::uint64_t partial_version = 0;
  std::uint32_t received_bytes = 0;
  TimePoint requested_at;  ///< By the sender's clock.

  friend bool operator==(const TablesRequest&, const TablesRequest&) = default;
};

/// A part of the document of one version of the tables.
struct TablesPart {
  std::uint64_t version = 0;
  std::uint32_t document_bytes = 0;  ///< Size of the whole document.
  std::uint32_t offset = 0;
  std::string bytes;

  friend bool operator==(const TablesPart&, const TablesPart&) = default;
};

/// The response to a `TablesRequest`. It is sent once for each part, or once
/// without a part if the sender's tables are not later.
struct TablesReply {
  TimePoint requested_at;  ///< Repeated from the request.
  std::optional<TablesPart> part;

  friend bool operator==(const TablesReply&, const TablesReply&) = default;
};

/// Returns the next parts of the document of `version` that `request` asks for.
/// Empty if the version is not later than the sender's, or if the document is
/// unknown or too large to be sent.
std::vector<TablesPart> MakeTablesParts(std::uint64_t version,
                                        const std::string& document,
                                        const TablesRequest& request);

/// Assembles the document of tables that arrives from other nodes in parts.
///
/// A part that is lost, or that comes before the one in front of it, is asked
/// for again by the next request. Any node may answer that: the documents of
/// one version are equal. Deterministic; not thread-safe. Holds at most
/// `kMaxDocumentBytes`.
class TablesAssembly {
 public:
  /// Size limit of a document, that of the store.
  static constexpr std::size_t kMaxDocumentBytes = std::size_t{1} << 20;

  /// Returns the request for what is missing. `known_version` is that of the
  /// tables that this node has.
  TablesRequest NextRequest(std::uint64_t known_version, TimePoint now) const;
  /// Adds a part. Returns the document once it is whole, and starts anew.
  std::optional<std::string> Add(const TablesPart& part,
                                 std::uint64_t known_version);

 private:
  std::uint64_t version_ = 0;  ///< Of `received_`; 0: none.
  std::string received_;
};

}  // namespace pollenledge
