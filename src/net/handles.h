/// RAII owners of GLib handles. They are used only on the event loop's thread.
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

struct StringFree {
  void operator()(gchar* text) const { g_free(text); }
};

struct MainLoopUnref {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};

using SocketHandle = std::unique_ptr<GSocket, ObjectUnref>;
using AddressHandle = std::unique_ptr<GSocketAddress, ObjectUnref>;
using ErrorHandle = std::unique_ptr<GError, ErrorFree>;
using StringHandle = std::unique_ptr<gchar, StringFree>;
using MainLoopHandle = std::unique_ptr<GMainLoop, MainLoopUnref>;

/// Owns an event source (GSource) of GLib's default main context. The destructor destroys the
/// source, and the callback of the source does not run after that.
class SourceHandle {
public:
  SourceHandle() = default;
  SourceHandle(const SourceHandle&) = delete;
  SourceHandle& operator=(const SourceHandle&) = delete;

  ~SourceHandle() { reset(); }

  /// Destroys the current source, if any, and takes over the caller's reference to `source`.
  void reset(GSource* source = nullptr) {
    if (source_) {
      g_source_destroy(source_);
      g_source_unref(source_);
    }
    source_ = source;
  }

  /// Calls `ready(socket, condition, data)` from the event loop whenever `condition` holds.
  void watch(GSocket* socket, GIOCondition condition, GSocketSourceFunc ready, gpointer data) {
    reset(g_socket_create_source(socket, condition, nullptr));
    g_source_set_callback(source_, G_SOURCE_FUNC(ready), data, nullptr);
    g_source_attach(source_, nullptr);
  }

  [[nodiscard]] GSource* get() const { return source_; }

  explicit operator bool() const { return source_ != nullptr; }

private:
  GSource* source_ = nullptr;
};

}  // namespace gorsebeam::net
