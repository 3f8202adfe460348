#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// Key under which the key-value service stores the tables.
inline constexpr char kConfigKey[] = "config/tables";

/// Maximum size in bytes of the YAML of both tables together. Leaves a margin
/// below the limit that the key-value service has for a document.
inline constexpr std::size_t kMaxConfigBytes = 900'000;

/// Both tables with their version, as stored in the key-value service.
struct ConfigDocument {
  std::uint64_t version = 0;
  std::string edit_id;  ///< Unique id of the edit that created this version.
  std::string author;
  /// Ids of the latest edits including this one, newest first.
  std::vector<std::string> edit_history;
  TablesYaml yaml;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

/// Serializes `document` to the JSON stored in the key-value service.
std::string ToJson(const ConfigDocument& document);
/// Parses the output of `ToJson`.
Result<ConfigDocument> ParseConfigDocument(const std::string& json);

/// An operator's request to replace the tables.
struct ConfigChange {
  std::uint64_t base_version = 0;  ///< The version that the operator edited.
  std::string edit_id;
  std::string author;
  TablesYaml yaml;
};

/// The edit took effect as `version`. This and the three results that follow
/// report to the operator exactly what happened.
struct EditAccepted {
  std::uint64_t version = 0;
  friend bool operator==(const EditAccepted&, const EditAccepted&) = default;
};
/// Another edit took effect first; this one changed nothing.
struct EditConflict {
  std::uint64_t current_version = 0;
  std::string author;
  friend bool operator==(const EditConflict&, const EditConflict&) = default;
};
/// The key-value service was unavailable; nothing was changed.
struct EditUnavailable {
  std::string reason;
  friend bool operator==(const EditUnavailable&,
                         const EditUnavailable&) = default;
};
/// A write was sent and its result could not be determined before the deadline,
/// so it may have taken effect. Applying the same edit id again tells whether
/// it did.
struct EditOutcomeUnknown {
  std::string edit_id;
  friend bool operator==(const EditOutcomeUnknown&,
                         const EditOutcomeUnknown&) = default;
};

/// Read the document.
struct ReadConfig {
  friend bool operator==(const ReadConfig&, const ReadConfig&) = default;
};
/// Write the document by compare-and-swap.
struct WriteConfig {
  KvWrite write;
  friend bool operator==(const WriteConfig&, const WriteConfig&) = default;
};
/// Next step of an edit. All steps but `ReadConfig` and `WriteConfig` are
/// final.
using EditStep =
    std::variant<ReadConfig, WriteConfig, EditAccepted, EditConflict,
                 EditUnavailable, EditOutcomeUnknown>;

/// State machine that writes one edit: it reads the document, compares the base
/// version, writes by compare-and-swap, and reads the document back if the
/// response to the write was lost.
///
/// Every version lists the ids of the latest edits before it, so that an edit
/// whose response was lost is found even if other edits followed. Each response
/// passed in yields the next step. Not thread-safe.
class ConfigEdit {
 public:
  ConfigEdit(ConfigChange change, TimePoint deadline);

  EditStep Start() const { return ReadConfig{}; }
  EditStep OnRead(const Result<std::optional<KvEntry>>& read, TimePoint now);
  EditStep OnWrite(const Result<KvTxnReply>& reply, TimePoint now);

 private:
  EditStep OnDocument(const std::optional<KvEntry>& entry, TimePoint now);
  /// The final step after a failure: unknown if a write was sent.
  EditStep GiveUp(const std::string& reason) const;

  ConfigChange change_;
  TimePoint deadline_;
  bool write_sent_ = false;  ///< A write was sent; it may have taken effect.
};

}  // namespace pollenledge
