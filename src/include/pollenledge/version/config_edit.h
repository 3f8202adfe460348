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

/// The key of the key-value service that holds the tables.
inline constexpr char kConfigKey[] = "config/tables";

/// Largest document that the key-value service takes, with room to spare.
inline constexpr std::size_t kMaxConfigBytes = 900'000;

/// Both tables with their version, as the key-value service keeps them.
struct ConfigDocument {
  std::uint64_t version = 0;
  std::string edit_id;  ///< Unique to the edit that made this version.
  std::string author;
  /// Ids of the latest edits, newest first, this one's included.
  std::vector<std::string> history;
  TableTexts texts;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

std::string ToJson(const ConfigDocument& document);
Result<ConfigDocument> ParseConfigDocument(const std::string& json);

/// An operator's wish to replace the tables.
struct ConfigChange {
  std::uint64_t base_version = 0;  ///< The version that was edited.
  std::string edit_id;
  std::string author;
  TableTexts texts;
};

/// What an edit came to. What the operator is told is exactly what happened.
struct EditAccepted {
  std::uint64_t version = 0;
  friend bool operator==(const EditAccepted&, const EditAccepted&) = default;
};
/// Another edit came first. Nothing was changed.
struct EditConflict {
  std::uint64_t current_version = 0;
  std::string author;
  friend bool operator==(const EditConflict&, const EditConflict&) = default;
};
/// Nothing was changed.
struct EditUnavailable {
  std::string why;
  friend bool operator==(const EditUnavailable&,
                         const EditUnavailable&) = default;
};
/// The write was sent and the service did not say, in time, what became of it.
/// Applying the same edit id again settles it.
struct EditUnknown {
  std::string edit_id;
  friend bool operator==(const EditUnknown&, const EditUnknown&) = default;
};

struct ReadConfig {
  friend bool operator==(const ReadConfig&, const ReadConfig&) = default;
};
struct WriteConfig {
  KvWrite write;
  friend bool operator==(const WriteConfig&, const WriteConfig&) = default;
};
using EditStep = std::variant<ReadConfig, WriteConfig, EditAccepted,
                              EditConflict, EditUnavailable, EditUnknown>;

/// Decides how one edit is written: read, compare the base version, write by
/// compare-and-swap, and settle a lost answer by reading back.
///
/// Every version remembers the ids of the edits before it, so that an edit
/// whose answer was lost is found again even if others have followed. Feed it
/// each answer; it returns the next step. Not thread-safe.
class ConfigEdit {
 public:
  ConfigEdit(ConfigChange change, TimePoint deadline);

  EditStep Start() const { return ReadConfig{}; }
  EditStep OnRead(const Result<std::optional<KvEntry>>& read, TimePoint now);
  EditStep OnWrite(const Result<KvTxnReply>& reply, TimePoint now);

 private:
  EditStep OnDocument(const std::optional<KvEntry>& entry, TimePoint now);
  EditStep GiveUp(const std::string& why) const;

  ConfigChange change_;
  TimePoint deadline_;
  bool written_ = false;  ///< A write was sent whose effect is not known.
};

}  // namespace pollenledge
