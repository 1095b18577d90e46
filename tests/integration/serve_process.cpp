#include "serve_process.h"

#include <array>

#include <glib-unix.h>
#include <unistd.h>

namespace test_harness {

std::optional<ServeProcess> start_serve(const std::string& program, const std::string& config_path,
                                        const std::string& operator_file_path,
                                        const EnvironmentVariables& environment) {
  const std::array<const char*, 7> arguments{program.c_str(), "serve",
                                             "--config",      config_path.c_str(),
                                             "--file",        operator_file_path.c_str(),
                                             nullptr};
  gchar** child_environment = g_get_environ();
  for (const auto& [name, value] : environment)
    child_environment =
        g_environ_setenv(child_environment, name.c_str(), value.c_str(), /*overwrite=*/TRUE);
  ServeProcess process;
  const gboolean was_spawned = g_spawn_async_with_pipes(
      nullptr, const_cast<gchar**>(arguments.data()), child_environment,
      static_cast<GSpawnFlags>(G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL), nullptr,
      nullptr, &process.pid, nullptr, nullptr, &process.log_descriptor, nullptr);
  g_strfreev(child_environment);
  if (was_spawned == FALSE)
    return std::nullopt;
  g_unix_set_fd_nonblocking(process.log_descriptor, TRUE, nullptr);
  return process;
}

void append_available(int descriptor, std::string& text) {
  std::array<char, 8192> buffer{};
  ssize_t length = ::read(descriptor, buffer.data(), buffer.size());
  while (length > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(length));
    length = ::read(descriptor, buffer.data(), buffer.size());
  }
}

std::string listener_prefix(const std::string& protocol_label) {
  return "protocol=" + protocol_label + " address=";
}

}  // namespace test_harness
