// The last good version in the operator's state folder: written whole or not at all, read whole or
// passed over.
#pragma once

#include "config/validation.h"
#include "config_versions/version_tracker.h"

#include "gorsebeam/state/v1/state.pb.h"

#include <gio/gio.h>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace gorsebeam::snapshot_store {

constexpr std::uint32_t kSchema = 1;  // what this program writes, and the newest that it reads
constexpr const char* kName = "last-good";
constexpr std::size_t kSizeMost = 64 << 20;  // bytes; a larger file is passed over

using Kept = std::array<std::optional<config_versions::Kept>, config_versions::kTypes>;

// What the file holds: a magic, a checksum (XXH3, 64 bits) and the message. Pure.
std::string packed(const state::v1::LastGood& good);
std::optional<state::v1::LastGood> unpacked(const std::string& bytes, std::string& why);

state::v1::LastGood
good_of(const config_versions::Machine& machine);  // the parts that a control service pushed
// The parts, checked as if they had been pushed now. Nothing, and why: one of them does not do any
// more.
std::optional<Kept> kept_of(const state::v1::LastGood& good, const config::ValidationContext& site,
                            std::string& why);

// Nothing with no `why`: there is no file.
std::optional<state::v1::LastGood> load(const std::string& folder, std::string& why);
// Blocking: a temporary file beside it, fsync, rename, fsync of the folder. Empty: done; else why
// not.
std::string save(const std::string& folder, const std::string& bytes);

// Saves beside the loop, in GLib's pool of threads, as a disk may stall; one at a time, and of
// those that come meanwhile only the newest.
class Writer {
public:
  using Done = std::function<void(const std::string& why)>;  // empty: it is on disk; on the loop

  explicit Writer(Done done) : done_(std::move(done)) {}

  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  void save(const std::string& folder, std::string bytes);

private:
  struct Job;
  void start(const std::string& folder, std::string bytes);
  Done done_;
  Job* out_ = nullptr;
  std::optional<std::pair<std::string, std::string>> next_;
};

}  // namespace gorsebeam::snapshot_store
