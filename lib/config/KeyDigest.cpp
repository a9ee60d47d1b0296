#include "filbertvane/config/KeyDigest.h"
#include "filbertvane/core/Invariant.h"
#include <openssl/evp.h>

namespace filbertvane::config {

KeyDigest KeyDigest::of(std::string_view Key) {
  KeyDigest Digest;
  unsigned Length = 0;
  const int Done = EVP_Digest(Key.data(), Key.size(), Digest.Bytes.data(),
                              &Length, EVP_sha256(), nullptr);
  core::invariant(Done == 1 && Length == Size, "SHA-256 is available");
  return Digest;
}

} // namespace filbertvane::config
