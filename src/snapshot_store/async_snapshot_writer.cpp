#include "async_snapshot_writer.h"

#include "snapshot_file.h"

#include "net/contained_callback.h"
#include "net/handles.h"

#include <gio/gio.h>

#include <memory>
#include <utility>

namespace gorsebeam::snapshot_store {

/// The data of a GTask. The task's thread reads `snapshot` and writes `error`; only the event
/// loop's thread uses `writer`.
struct AsyncSnapshotWriter::WriteJob {
  /// Null once the writer is destroyed.
  AsyncSnapshotWriter* writer;
  Snapshot snapshot;
  std::optional<SnapshotError> error;

  static void run_in_thread(GTask* task, gpointer, gpointer data, GCancellable*) {
    auto* job = static_cast<WriteJob*>(data);
    job->error = save_snapshot(job->snapshot.folder, job->snapshot.bytes);
    g_task_return_boolean(task, TRUE);
  }

  static void on_finished(GObject*, GAsyncResult* result, gpointer) {
    const auto* job = static_cast<WriteJob*>(g_task_get_task_data(G_TASK(result)));
    if (job->writer)
      net::run_contained("snapshot", [job] {
        job->writer->finish(*job);
      });
  }

  static void destroy(gpointer data) {
    const std::unique_ptr<WriteJob> job(static_cast<WriteJob*>(data));
  }
};

AsyncSnapshotWriter::~AsyncSnapshotWriter() {
  if (current_job_)
    current_job_->writer = nullptr;
}

void AsyncSnapshotWriter::write(const std::string& folder, std::string bytes) {
  Snapshot snapshot{folder, std::move(bytes)};
  if (current_job_)
    next_snapshot_ = std::move(snapshot);
  else
    start(std::move(snapshot));
}

void AsyncSnapshotWriter::start(Snapshot snapshot) {
  auto job = std::make_unique<WriteJob>(WriteJob{this, std::move(snapshot), std::nullopt});
  current_job_ = job.get();
  const std::unique_ptr<GTask, net::ObjectUnref> task(
      g_task_new(nullptr, nullptr, &WriteJob::on_finished, nullptr));
  g_task_set_task_data(task.get(), job.release(), &WriteJob::destroy);
  g_task_run_in_thread(task.get(), &WriteJob::run_in_thread);
}

void AsyncSnapshotWriter::finish(const WriteJob& job) {
  current_job_ = nullptr;
  on_written_(job.error);
  if (!next_snapshot_)
    return;
  Snapshot snapshot = std::move(*next_snapshot_);
  next_snapshot_.reset();
  start(std::move(snapshot));
}

}  // namespace gorsebeam::snapshot_store
