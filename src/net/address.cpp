#include "address.h"

#include <cstddef>

namespace gorsebeam::net {

AddressHandle parse_address(const std::string& text, unsigned min_port) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return nullptr;
  guint64 port = 0;
  const gboolean parsed =
      g_ascii_string_to_unsigned(text.c_str() + colon + 1, 10, min_port, 65535, &port, nullptr);
  if (parsed == FALSE)
    return nullptr;
  const std::string host = text.substr(0, colon);
  return AddressHandle(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(port)));
}

}  // namespace gorsebeam::net
