#pragma once

#include <string>

#include "pollenledge/process/entry_node.h"

namespace pollenledge {

/// The entry's state for operators, as JSON: identity, tables in force, load,
/// draining, peers and upstreams.
std::string RenderStatus(const EntryNode& node, TimePoint now);

/// The entry's cost ledger as JSON.
std::string RenderUsage(const EntryNode& node);

/// Adds the usage in `json`, as `RenderUsage` writes it, to `usage`.
Status AddUsage(const std::string& json, std::map<UsageKey, Usage>* usage);

}  // namespace pollenledge
