#include "pollenledge/request/fingerprint.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <memory>
#include <utility>

namespace pollenledge {
namespace {

std::uint64_t ReadBigEndian(const unsigned char* bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) value = value << 8 | bytes[i];
  return value;
}

constexpr int kHexBase = 16;
constexpr std::size_t kDigitsPerHalf = 16;

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace

Fingerprint ComputeFingerprint(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    const std::uint64_t length = part.size();
    EVP_DigestUpdate(context.get(), &length, sizeof length);
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return {ReadBigEndian(digest.data()),
          ReadBigEndian(digest.data() + sizeof(std::uint64_t))};
}

std::vector<Fingerprint> SuspectFingerprints(
    std::vector<Fingerprint> own_fingerprints, std::string_view model,
    const std::vector<std::uint64_t>& segment_ids) {
  std::vector<Fingerprint> fingerprints = std::move(own_fingerprints);
  for (const std::uint64_t id : segment_ids) {
    fingerprints.push_back(
        ComputeFingerprint({"prompt segment", model, std::to_string(id)}));
  }
  return fingerprints;
}

std::string ToHex(const Fingerprint& fingerprint) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.high),
                static_cast<unsigned long long>(fingerprint.low));
  return text.data();
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != 2 * kDigitsPerHalf) return std::nullopt;
  const auto high = ParseHex(text.substr(0, kDigitsPerHalf));
  const auto low = ParseHex(text.substr(kDigitsPerHalf));
  if (!high.has_value() || !low.has_value()) return std::nullopt;
  return Fingerprint{*high, *low};
}

}  // namespace pollenledge
