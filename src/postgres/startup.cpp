#include "startup.h"

#include <array>

namespace gorsebeam::postgres {
namespace {

constexpr std::uint32_t kMajorVersion = kProtocolVersion3 >> 16;

constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);
constexpr std::string_view kBackendKeyData("\0\0\0\1\0\0\0\0", 8);
constexpr std::array kParameterStatuses{std::string_view("server_version\00015.0\0", 20),
                                        std::string_view("server_encoding\0UTF8\0", 21),
                                        std::string_view("client_encoding\0UTF8\0", 21),
                                        std::string_view("DateStyle\0ISO, MDY\0", 19),
                                        std::string_view("integer_datetimes\0on\0", 21),
                                        std::string_view("standard_conforming_strings\0on\0", 31)};

}  // namespace

Startup parse_startup(const StartupMessage& message) {
  if (message.code == kCancelRequest)
    return {StartupKind::Cancel, {}};
  if (message.code == kSslRequest || message.code == kGssEncryptionRequest)
    return {StartupKind::Encryption, {}};
  if (message.code >> 16 != kMajorVersion)
    return {StartupKind::UnsupportedVersion, {}};
  return {StartupKind::Session, startup_parameter(message.parameters, "user").value_or("")};
}

std::string encode_startup_reply() {
  std::string reply = encode_message('R', kAuthenticationOk);
  for (const std::string_view status : kParameterStatuses)
    reply += encode_message('S', status);
  reply += encode_message('K', kBackendKeyData);
  return reply;
}

}  // namespace gorsebeam::postgres
