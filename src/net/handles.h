// RAII over GLib's handles.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace gorsebeam::net {

struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

struct ErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};

using SocketHandle = std::unique_ptr<GSocket, ObjectUnref>;
using AddressHandle = std::unique_ptr<GSocketAddress, ObjectUnref>;
using ErrorHandle = std::unique_ptr<GError, ErrorFree>;

// Owns a source attached to the main loop; gone with its owner.
class SourceHandle {
public:
  SourceHandle() = default;
  SourceHandle(const SourceHandle&) = delete;
  SourceHandle& operator=(const SourceHandle&) = delete;

  ~SourceHandle() { reset(); }

  void reset(GSource* source = nullptr) {
    if (source_) {
      g_source_destroy(source_);
      g_source_unref(source_);
    }
    source_ = source;
  }

  void watch(GSocket* socket, GIOCondition condition, GSocketSourceFunc ready, gpointer data) {
    reset(g_socket_create_source(socket, condition, nullptr));
    g_source_set_callback(source_, G_SOURCE_FUNC(ready), data, nullptr);
    g_source_attach(source_, nullptr);
  }

  GSource* get() const { return source_; }

  explicit operator bool() const { return source_ != nullptr; }

private:
  GSource* source_ = nullptr;
};

}  // namespace gorsebeam::net
