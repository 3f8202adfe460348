#include "pollenledge/version/config_edit.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxEditIds = 64;

}  // namespace

std::string ToJson(const ConfigDocument& document) {
  return Json{
      {"version", document.version},    {"edit_id", document.edit_id},
      {"author", document.author},      {"history", document.edit_history},
      {"routes", document.yaml.routes}, {"pools", document.yaml.pools}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigDocument> ParseConfigDocument(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  const bool valid = json.is_object() && json.contains("version") &&
                     json["version"].is_number_unsigned() &&
                     json.contains("routes") && json["routes"].is_string() &&
                     json.contains("pools") && json["pools"].is_string();
  if (!valid) {
    return Error{ErrorCode::kInvalidArgument,
                 "key \"" + std::string(kConfigKey) +
                     "\" does not contain a document with version, routes "
                     "and pools"};
  }
  ConfigDocument document;
  document.version = json["version"].get<std::uint64_t>();
  document.edit_id = json.value("edit_id", "");
  document.author = json.value("author", "");
  document.edit_history = json.value("history", std::vector<std::string>());
  document.yaml = {json["routes"].get<std::string>(),
                   json["pools"].get<std::string>()};
  return document;
}

ConfigEdit::ConfigEdit(ConfigChange change, TimePoint deadline)
    : change_(std::move(change)), deadline_(deadline) {}

EditStep ConfigEdit::OnRead(const Result<std::optional<KvEntry>>& read,
                            TimePoint now) {
  if (Ok(read)) return OnDocument(Value(read), now);
  if (!write_sent_ || now >= deadline_) return GiveUp(ErrorOf(read).message);
  return ReadConfig{};
}

EditStep ConfigEdit::OnWrite(const Result<KvTxnReply>& reply, TimePoint now) {
  if (!Ok(reply)) {
    if (now >= deadline_) return GiveUp(ErrorOf(reply).message);
    return ReadConfig{};
  }
  if (Value(reply).succeeded) return EditAccepted{change_.base_version + 1};
  const std::vector<KvEntry>& current = Value(reply).current;
  return OnDocument(current.empty() ? std::optional<KvEntry>()
                                    : std::optional<KvEntry>(current.front()),
                    now);
}

EditStep ConfigEdit::OnDocument(const std::optional<KvEntry>& entry,
                                TimePoint now) {
  ConfigDocument current;
  std::int64_t revision = 0;
  if (entry.has_value()) {
    Result<ConfigDocument> parsed = ParseConfigDocument(entry->value);
    if (!Ok(parsed)) return GiveUp(ErrorOf(parsed).message);
    current = std::move(Value(parsed));
    revision = entry->mod_revision;
  }
  const bool already_applied =
      std::find(current.edit_history.begin(), current.edit_history.end(),
                change_.edit_id) != current.edit_history.end();
  if (already_applied) return EditAccepted{change_.base_version + 1};
  if (current.version > change_.base_version) {
    return EditConflict{current.version, current.author};
  }
  if (current.version < change_.base_version) {
    // The read is stale: it is older than the version that was edited.
    if (now >= deadline_) return GiveUp("only older versions could be read");
    return ReadConfig{};
  }
  if (now >= deadline_) return GiveUp("deadline exceeded before the write");
  ConfigDocument next;
  next.version = change_.base_version + 1;
  next.edit_id = change_.edit_id;
  next.author = change_.author;
  next.edit_history = current.edit_history;
  next.edit_history.insert(next.edit_history.begin(), change_.edit_id);
  if (next.edit_history.size() > kMaxEditIds)
    next.edit_history.resize(kMaxEditIds);
  next.yaml = change_.yaml;
  write_sent_ = true;
  return WriteConfig{{kConfigKey, ToJson(next), revision}};
}

EditStep ConfigEdit::GiveUp(const std::string& reason) const {
  if (write_sent_) return EditOutcomeUnknown{change_.edit_id};
  return EditUnavailable{reason};
}

}  // namespace pollenledge
