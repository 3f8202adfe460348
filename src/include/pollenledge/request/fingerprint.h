#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenledge {

/// Identifies a request when its caller retries it, or a segment of a prompt
/// that several requests contain, through any node. It is a 128-bit prefix of a
/// SHA-256 digest of the content, long enough that nobody can craft a request
/// with the fingerprint of another.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// Computes the fingerprint of `parts` in order. The length of each part is
/// hashed as well, so that moving bytes from one part to another changes the
/// fingerprint.
Fingerprint ComputeFingerprint(std::initializer_list<std::string_view> parts);

/// Returns the fingerprints by which crashes are attributed to a request:
/// `own_fingerprints`, and one of each shared segment of its prompt. A segment
/// has the same fingerprint in all requests to `model`, whoever sends them.
std::vector<Fingerprint> SuspectFingerprints(
    std::vector<Fingerprint> own_fingerprints, std::string_view model,
    const std::vector<std::uint64_t>& segment_ids);

/// Formats the fingerprint as 32 hexadecimal digits, the form used in logs and
/// in the store.
std::string ToHex(const Fingerprint& fingerprint);
/// Parses what `ToHex` returns; nullopt if `text` is anything else.
std::optional<Fingerprint> ParseFingerprint(std::string_view text);

}  // namespace pollenledge

template <>
struct std::hash<pollenledge::Fingerprint> {
  std::size_t operator()(const pollenledge::Fingerprint& value) const noexcept {
    return value.low;  // Digest bits are uniformly distributed.
  }
};
