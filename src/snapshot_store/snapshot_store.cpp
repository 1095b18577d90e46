#include "snapshot_store.h"

#include "xds/xds.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

namespace gorsebeam::snapshot_store {
namespace {

using config_versions::Type;
constexpr char kMagic[] = "gorsebeam state\n";
constexpr std::size_t kMagicSize = sizeof kMagic - 1, kHead = kMagicSize + 8;
constexpr std::int64_t kMs = 1'000'000;

// RAII over a descriptor.
class File {
public:
  File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0640)) {}

  File(const File&) = delete;
  File& operator=(const File&) = delete;

  ~File() {
    if (fd_ >= 0)
      ::close(fd_);
  }

  int get() const { return fd_; }

private:
  int fd_;
};

std::string because(const std::string& what) {
  return what + ": " + std::strerror(errno);
}

std::string checksum(const char* bytes, std::size_t size) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH3_64bits(bytes, size));
  return {reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest};
}

template <typename Message>
std::optional<std::string> take(const state::v1::Part& part, const Message& value,
                                const config::ValidationContext& site,
                                std::optional<config_versions::Kept>& into) {
  if (!part.held())
    return std::nullopt;
  if (const auto fault = config::validate_no_unknown_fields(value))
    return fault->to_string();
  if (const auto fault = config::validate_resource(value, site))
    return fault->to_string();
  config_versions::Kept kept;
  kept.running = xds::version_of(value);
  kept.running.version = part.version(), kept.running.source = part.source();
  kept.running.generation = part.generation(),
  kept.running.accepted_at = part.accepted_unix_ms() * kMs;
  kept.newest = std::max(part.newest(), part.generation());
  into = std::move(kept);
  return std::nullopt;
}

}  // namespace

std::string packed(const state::v1::LastGood& good) {
  const std::string bytes = good.SerializeAsString();
  return kMagic + checksum(bytes.data(), bytes.size()) + bytes;
}

std::optional<state::v1::LastGood> unpacked(const std::string& bytes, std::string& why) {
  if (bytes.size() < kHead || bytes.compare(0, kMagicSize, kMagic) != 0) {
    why = "it is no state of this program, or its head is damaged";
    return std::nullopt;
  }
  if (bytes.compare(kMagicSize, 8, checksum(bytes.data() + kHead, bytes.size() - kHead)) != 0) {
    why = "it is damaged: its checksum does not fit";
    return std::nullopt;
  }
  state::v1::LastGood good;
  if (!good.ParseFromArray(bytes.data() + kHead, static_cast<int>(bytes.size() - kHead))) {
    why = "it is damaged: it cannot be read";
    return std::nullopt;
  }
  if (good.schema() > kSchema) {
    why = "it is of schema " + std::to_string(good.schema()) + ", newer than this program's " +
          std::to_string(kSchema);
    return std::nullopt;
  }
  return good;
}

state::v1::LastGood good_of(const config_versions::Machine& machine) {
  state::v1::LastGood good;
  good.set_schema(kSchema);
  const auto part = [&](Type type, state::v1::Part* part) {
    const config_versions::Kept& kept = machine.kept(type);
    if (kept.running.source == "file")
      return false;
    part->set_held(true);
    part->set_version(kept.running.version), part->set_source(kept.running.source);
    part->set_accepted_unix_ms(kept.running.accepted_at / kMs);
    part->set_generation(kept.running.generation), part->set_newest(kept.newest);
    return true;
  };
  if (part(Type::Contracts, good.mutable_contracts()))
    *good.mutable_contracts_value() = xds::contracts_of(machine.kept(Type::Contracts).running.body);
  if (part(Type::Members, good.mutable_members()))
    *good.mutable_members_value() = xds::members_of(machine.kept(Type::Members).running.body);
  if (part(Type::Limits, good.mutable_limits()))
    *good.mutable_limits_value() = xds::limits_of(machine.kept(Type::Limits).running.body);
  return good;
}

std::optional<Kept> kept_of(const state::v1::LastGood& good, const config::ValidationContext& site,
                            std::string& why) {
  Kept kept;
  auto fault = take(good.contracts(), good.contracts_value(), site, kept[0]);
  if (!fault)
    fault = take(good.members(), good.members_value(), site, kept[1]);
  if (!fault)
    fault = take(good.limits(), good.limits_value(), site, kept[2]);
  if (!fault)
    return kept;
  why = "it does not fit here any more: " + *fault;
  return std::nullopt;
}

std::optional<state::v1::LastGood> load(const std::string& folder, std::string& why) {
  const std::string path = folder + "/" + kName;

  struct stat info {};

  if (::stat(path.c_str(), &info) != 0) {
    if (errno != ENOENT)
      why = because(path);
    return std::nullopt;
  }
  if (!S_ISREG(info.st_mode) || static_cast<std::size_t>(info.st_size) > kSizeMost) {
    why = path + ": it is no file, or larger than 64 MiB";
    return std::nullopt;
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    why = because(path);
    return std::nullopt;
  }
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  auto good = unpacked(bytes, why);
  if (!good)
    why = path + ": " + why;
  return good;
}

std::string save(const std::string& folder, const std::string& bytes) {
  const std::string path = folder + "/" + kName, fresh = path + ".new";
  {
    const File file(fresh, O_WRONLY | O_CREAT | O_TRUNC);
    if (file.get() < 0)
      return because(fresh);
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t written = ::write(file.get(), bytes.data() + done, bytes.size() - done);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0) {
        const std::string why = because(fresh);
        ::unlink(fresh.c_str());
        return why;
      }
      done += static_cast<std::size_t>(written);
    }
    if (::fsync(file.get()) != 0)
      return because(fresh);
  }
  if (::rename(fresh.c_str(), path.c_str()) != 0)
    return because(path);
  const File folder_file(folder, O_RDONLY | O_DIRECTORY);
  if (folder_file.get() < 0 || ::fsync(folder_file.get()) != 0)
    return because(folder);
  return "";
}

struct Writer::Job {
  Writer* writer;  // null: it is gone
  std::string folder, bytes, why;
};

void Writer::save(const std::string& folder, std::string bytes) {
  if (out_)
    next_ = {folder, std::move(bytes)};
  else
    start(folder, std::move(bytes));
}

void Writer::start(const std::string& folder, std::string bytes) {
  out_ = new Job{this, folder, std::move(bytes), ""};
  const auto finished = [](GObject*, GAsyncResult* result, gpointer) {
    auto* job = static_cast<Job*>(g_task_get_task_data(G_TASK(result)));
    Writer* writer = job->writer;
    if (!writer)
      return;
    writer->out_ = nullptr;
    writer->done_(job->why);
    if (!writer->next_)
      return;
    auto next = std::move(*writer->next_);
    writer->next_.reset();
    writer->start(next.first, std::move(next.second));
  };
  GTask* task = g_task_new(nullptr, nullptr, finished, nullptr);
  g_task_set_task_data(task, out_, [](gpointer job) {
    delete static_cast<Job*>(job);
  });
  g_task_run_in_thread(task, [](GTask* own, gpointer, gpointer data, GCancellable*) {
    auto* job = static_cast<Job*>(data);
    job->why = snapshot_store::save(job->folder, job->bytes);
    g_task_return_boolean(own, TRUE);
  });
  g_object_unref(task);
}

Writer::~Writer() {
  if (out_)
    out_->writer = nullptr;
}

}  // namespace gorsebeam::snapshot_store
