#include "samphirehill/Config/Secret.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <ostream>

namespace samphirehill {

bool Secret::matches(std::string_view Candidate) const {
  if (Value.empty() || Candidate.size() != Value.size())
    return false;
  return CRYPTO_memcmp(Value.data(), Candidate.data(), Value.size()) == 0;
}

std::ostream &operator<<(std::ostream &Stream, const Secret &) {
  return Stream << "<secret>";
}

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned int I = 0; I < Size; ++I) {
    Hex += Digits[Digest[I] >> 4U];
    Hex += Digits[Digest[I] & 15U];
  }
  return Hex;
}

} // namespace samphirehill
