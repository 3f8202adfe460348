#pragma once

#include <vector>

namespace pollenledge {

// Conversions between vectors and Cap'n Proto lists of numbers or texts.

/// The size of a list that holds all values.
template <typename Value>
unsigned ListSize(const std::vector<Value>& values) {
  return static_cast<unsigned>(values.size());
}

/// Appends the elements of `list` to `values`.
template <typename List, typename Value>
void ListFromWire(const List& list, std::vector<Value>* values) {
  for (const auto value : list) values->push_back(value);
}

/// Sets the elements of `list`, which has the size of `values`.
template <typename Value, typename List>
void ListToWire(const std::vector<Value>& values, List list) {
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, values[i]);
}

}  // namespace pollenledge
