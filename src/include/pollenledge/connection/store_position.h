#pragma once

#include <cstdint>

namespace pollenledge {

/// A point in the history of the key-value store: the era first, then the
/// revision within it. A store that is restored from an older copy begins a new
/// era and gives revisions out again, so revisions alone cannot be compared.
///
/// A position fits in 64 bits, which compare as the pair does. It therefore
/// also serves as a fencing token, and a store without eras has its revisions
/// as positions.
namespace store_position {

/// Bits of the revision: enough for 30 years of 1,000 changes a second. The
/// remaining bits keep positions exactly representable as a floating-point
/// number for the first 8,192 eras.
constexpr int kRevisionBits = 40;
constexpr std::int64_t kRevisionMask = (std::int64_t{1} << kRevisionBits) - 1;

/// The era of a store that was never restored; 0 if it names none.
constexpr std::int64_t kFirstEra = 1;

constexpr std::int64_t Make(std::int64_t era, std::int64_t revision) {
  return (era << kRevisionBits) | (revision & kRevisionMask);
}
constexpr std::int64_t EraOf(std::int64_t position) {
  return position >> kRevisionBits;
}
constexpr std::int64_t RevisionOf(std::int64_t position) {
  return position & kRevisionMask;
}

}  // namespace store_position
}  // namespace pollenledge
