#pragma once

/// @file
/// Generation and verification of keys.

#include <LibBase/Verdict.h>
#include <LibDocument/Document.h>
#include <string>
#include <string_view>

namespace zinc {

/// The two parts of a key's text, "<key id>.<secret>".
struct PresentedKey
{
  std::string_view id;
  std::string_view secret;
};

/// Salt and hash of a secret, both hexadecimal.
struct SecretVerifier
{
  std::string_view salt;
  std::string_view hash;
};

/// Compared with when a key is unknown, so that both cases take the same time.
inline constexpr SecretVerifier kUnknownKeyVerifier{
  .salt = "00000000000000000000000000000000",
  .hash = "0000000000000000000000000000000000000000000000000000000000000000",
};

/// A new key, as stored and as handed to its bearer.
struct GeneratedKey
{
  Key key;
  /// Shown once and never stored.
  std::string presented;
};

/// Splits a key's text; a text without a separator has no secret.
[[nodiscard]] PresentedKey
SplitPresentedKey(std::string_view aPresented);

/// @return true if the secret belongs to the verifier; takes the same time either way.
[[nodiscard]] bool
SecretMatches(const SecretVerifier& aVerifier, std::string_view aSecret);

/// Generates a key with a random id and a secret of 256 bits.
/// @return @ref ErrorCode::Internal if the system has no randomness to give.
[[nodiscard]] Result<GeneratedKey>
GenerateKey(TeamId aTeam);

/// Verifies a presented key in a time that does not depend on the secret.
/// @return the key, which lives as long as the document, or @ref ErrorCode::Unauthorized.
[[nodiscard]] Result<const Key*>
VerifyKey(const Document& aDocument, std::string_view aPresented);

}
