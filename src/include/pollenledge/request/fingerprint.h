#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pollenledge {

/// Knows a request again when its caller sends it anew, through whichever
/// node: a digest of what the caller asked, wide enough that nobody can make
/// one request look like another.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// The fingerprint of `parts` in this order; each part's length counts too.
Fingerprint FingerprintOf(std::initializer_list<std::string_view> parts);

/// 32 hexadecimal digits, as logs and the store have them.
std::string ToHex(const Fingerprint& fingerprint);

}  // namespace pollenledge

template <>
struct std::hash<pollenledge::Fingerprint> {
  std::size_t operator()(const pollenledge::Fingerprint& value) const noexcept {
    return value.low;  // Bits of a digest: any of them will do.
  }
};
