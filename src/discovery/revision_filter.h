/// Removes outdated entries from endpoint lists, by the revisions of the lists.
///
/// The module is pure and runs on one thread.
///
/// An old list may arrive after a newer one, on the same watch or from another agent that lags. An
/// epoch is a period in which discovery's revisions are comparable. A new epoch starts when the
/// address of discovery changes, or when discovery was set up again and its revisions start over.
///
/// Within an epoch, an entry that is older than the last event of its endpoint is ignored. The
/// lists of a new epoch are accepted as they are, with one exception: an endpoint that was draining
/// or removed before counts as up only once it has restarted, or once a later list of the new epoch
/// lists it as up.
#pragma once

#include "endpoint_list.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gorsebeam::discovery {

/// Whether a list is the first one that a watch delivered.
enum class ListOrder { FirstOfWatch, Later };

/// Filters lists by the last event of each endpoint, which it stores.
class RevisionFilter {
public:
  /// The maximum number of removed endpoints whose last events are stored. Those with the lowest
  /// revisions are forgotten first.
  static constexpr std::size_t kMaxRemovedEndpoints = 1024;

  /// Starts a new epoch; for a change of discovery's address.
  void start_new_epoch();

  /// The highest revision in the current epoch; 0 if there was no list yet.
  [[nodiscard]] std::int64_t revision() const { return newest_revision_; }

  /// Removes the outdated entries from `list`. A complete list that is not the newest is marked as
  /// incomplete, so that it does not remove the endpoints that it does not contain. A complete list
  /// that is the first of its watch and has a lower revision than the newest starts a new epoch.
  void remove_outdated(EndpointListDocument& list, ListOrder order);

private:
  struct LastWatchEvent {
    std::uint64_t epoch = 0;
    std::int64_t revision = 0;
    EndpointStatus status = EndpointStatus::Up;
    TimePoint started_at{};
    /// Whether a complete list omitted the endpoint, which was never listed as draining or removed
    /// since it started.
    bool is_only_omitted = false;
  };

  /// Records an entry of a list with the given revision, and replaces the entry's status where an
  /// earlier event takes precedence. Returns false if the entry is outdated.
  [[nodiscard]] bool record_entry(proxy::ListedEndpoint& entry, std::int64_t revision,
                                  bool is_newest);
  /// Whether `event` is from an earlier epoch and listed the endpoint as draining or removed, while
  /// `endpoint` is listed as up but has not restarted since.
  [[nodiscard]] bool is_still_unavailable(const LastWatchEvent& event,
                                          const Endpoint& endpoint) const;
  void remove_unlisted(const std::set<std::string>& listed_names, std::int64_t revision);
  void forget_removed();

  std::map<std::string, LastWatchEvent> last_events_;  // keyed by the endpoint's name
  std::uint64_t epoch_ = 0;
  std::int64_t newest_revision_ = 0;  // the highest in the current epoch
};

}  // namespace gorsebeam::discovery
