#include <LibDocument/KeyVerifier.h>

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <optional>
#include <span>
#include <utility>

namespace zinc {

namespace {

constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kSecretBytes = 32;
std::string
Hexadecimal(std::span<const unsigned char> aBytes)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0FU]);
  }
  return text;
}

std::string
HashSecret(std::string_view aSalt, std::string_view aSecret)
{
  const std::string salted = fmt::format("{}{}", aSalt, aSecret);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(), digest.data());
  return Hexadecimal(digest);
}

template<std::size_t Count>
std::optional<std::string>
RandomText()
{
  std::array<unsigned char, Count> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(Count)) != 1) {
    return {};
  }
  return Hexadecimal(bytes);
}

}

PresentedKey
SplitPresentedKey(std::string_view aPresented)
{
  const auto separator = aPresented.rfind('.');
  if (separator == std::string_view::npos) {
    return { .id = aPresented, .secret = {} };
  }
  return { .id = aPresented.substr(0, separator), .secret = aPresented.substr(separator + 1) };
}

bool
SecretMatches(const SecretVerifier& aVerifier, std::string_view aSecret)
{
  const std::string hash = HashSecret(aVerifier.salt, aSecret);
  return hash.size() == aVerifier.hash.size() &&
         CRYPTO_memcmp(hash.data(), aVerifier.hash.data(), hash.size()) == 0;
}

Result<GeneratedKey>
GenerateKey(TeamId aTeam)
{
  const auto id = RandomText<kIdBytes>();
  const auto salt = RandomText<kSaltBytes>();
  const auto secret = RandomText<kSecretBytes>();
  if (!id || !salt || !secret) {
    return NotRun(ErrorCode::Internal, "No randomness is available for a key.");
  }
  GeneratedKey generated;
  generated.key = {
    .id = { "k" + *id }, .team = std::move(aTeam), .salt = *salt, .hash = HashSecret(*salt, *secret)
  };
  generated.presented = fmt::format("{}.{}", generated.key.id.value, *secret);
  return generated;
}

Result<const Key*>
VerifyKey(const Document& aDocument, std::string_view aPresented)
{
  if (aPresented.empty()) {
    return NotRun(ErrorCode::Unauthorized, "No key came with the request.");
  }
  const PresentedKey presented = SplitPresentedKey(aPresented);
  const Key* const key = aDocument.FindKey({ std::string(presented.id) });
  const SecretVerifier verifier =
    key == nullptr ? kUnknownKeyVerifier : SecretVerifier{ .salt = key->salt, .hash = key->hash };
  const bool matches = SecretMatches(verifier, presented.secret);
  if (key == nullptr || !matches) {
    return NotRun(ErrorCode::Unauthorized, "The key is unknown or was withdrawn.");
  }
  return key;
}

}
