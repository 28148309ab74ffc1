#include "base/hash.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <stdexcept>
#include <vector>

namespace quetzalridge {

namespace {

std::string ToHex(const unsigned char* data, size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    hex.push_back(kDigits[data[i] >> 4]);
    hex.push_back(kDigits[data[i] & 15]);
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), digest, &size, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 failed; check the installation of OpenSSL");
  }
  return ToHex(digest, size);
}

uint64_t Hash64(std::string_view data, uint64_t seed) {
  uint64_t hash = 14695981039346656037ULL ^ seed;
  for (unsigned char c : data) {
    hash = (hash ^ c) * 1099511628211ULL;
  }
  // FNV-1a distributes the high bits of short inputs poorly. This final mix corrects that.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

std::string RandomHex(int bytes) {
  std::vector<unsigned char> data(bytes);
  if (RAND_bytes(data.data(), bytes) != 1) {
    throw std::runtime_error("no random bytes from the operating system; check its entropy source");
  }
  return ToHex(data.data(), data.size());
}

}  // namespace quetzalridge
