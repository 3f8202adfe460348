#pragma once

#include <string>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {

/// Returns the entry's state as a JSON object for operators: identity, version
/// of the active tables, drain state, load, peers and upstreams.
std::string RenderStatus(const EntryNode& node, TimePoint now);

/// Returns the entry's cost ledger as a JSON array with one object per
/// `SlotUsageKey`.
std::string RenderUsage(const EntryNode& node);

/// Adds the usage in `json`, in the format of `RenderUsage`, to `usage`.
/// Returns `kInvalidArgument` if `json` is not a JSON array; `usage` is then
/// unchanged.
Status AddUsageFromJson(const std::string& json,
                        std::map<SlotUsageKey, SlotUsage>* usage);

}  // namespace pollenledge
