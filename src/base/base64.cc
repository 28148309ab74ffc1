#include "base/base64.h"

#include <openssl/evp.h>

namespace quetzalridge {

namespace {

constexpr size_t kBytesPerBlock = 3;
constexpr size_t kDigitsPerBlock = 4;

}  // namespace

std::string EncodeBase64(std::string_view data) {
  // EVP_EncodeBlock writes a zero byte after the text.
  std::string text((data.size() + kBytesPerBlock - 1) / kBytesPerBlock * kDigitsPerBlock + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()), static_cast<int>(data.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kDigitsPerBlock != 0) {
    return std::nullopt;
  }
  if (text.empty()) {
    return std::string();
  }
  std::string data(text.size() / kDigitsPerBlock * kBytesPerBlock, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts the padding as data.
  size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  data.resize(static_cast<size_t>(size) - padding);
  return data;
}

}  // namespace quetzalridge
