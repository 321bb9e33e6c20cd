#pragma once

#include "common/Time.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gwt {

/// \brief Object of the simulated store.
struct ObjectRecord
{
    std::string name;
    std::uint64_t revision = 0; ///< of the last change
    std::uint64_t createdRevision = 0;
    boost::json::array finalizers; ///< unless empty, a removal only marks the object
    bool isDeleting = false;
    boost::json::value spec;
    boost::json::value status;
};

/// \brief Result of a write.
struct StoreWrite
{
    enum class Verdict { Done, Conflict, Missing };

    Verdict verdict = Verdict::Done;
    ObjectRecord object; ///< state after the call; empty if the object does not exist
};

/// \brief One page of a listing.
struct RecordPage
{
    std::vector<ObjectRecord> records;
    bool hasMore = false;
    std::uint64_t revision = 0; ///< of the store
};

/// \brief A change of one object.
struct RecordChange
{
    std::uint64_t revision = 0;
    std::string kind;
    ObjectRecord object;
    bool isRemoved = false;
};

/// \brief Stores objects by kind and name, with one revision counter and a change history.
///
/// Thread-safe.
class StoreData
{
public:
    /// Expected revision; nullopt matches any.
    using Expected = std::optional<std::uint64_t>;

    std::optional<ObjectRecord> get(const std::string &kind, const std::string &name) const;
    StoreWrite create(const std::string &kind, const std::string &name, boost::json::value spec);
    /// \brief Replaces content and finalizers; has no effect if both are equal to the stored ones.
    StoreWrite replace(const std::string &kind, const std::string &name, Expected revision,
                       boost::json::value spec, boost::json::array finalizers = {});
    StoreWrite replaceStatus(const std::string &kind, const std::string &name, Expected revision,
                             boost::json::value status);
    StoreWrite remove(const std::string &kind, const std::string &name, Expected revision);
    /// \brief Writes unconditionally and returns the new revision.
    std::uint64_t overwrite(const std::string &kind, const std::string &name,
                            boost::json::value spec);

    /// \brief Returns the objects whose name is greater than \a after, ordered by name.
    RecordPage list(const std::string &kind, const std::string &after) const;
    /// \brief Returns the changes of \a kind after \a revision, oldest first; nullopt if that part
    /// of the history was dropped, or the store does not have the revision.
    std::optional<std::vector<RecordChange>> changesAfter(const std::string &kind,
                                                          std::uint64_t revision) const;
    std::uint64_t revision() const;
    std::vector<std::string> kinds() const;
    /// \brief Drops the change history.
    void dropHistory();
    /// \brief Replaces all data by a copy that is \a age old: later writes are lost, and their
    /// revisions are assigned again. Raises the era. Limited to the last changes.
    void returnToCopy(Duration age);
    /// \brief Number of calls of returnToCopy().
    std::uint64_t era() const;

private:
    /// A change, and what it replaced.
    struct UndoEntry
    {
        TimePoint time;
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::optional<ObjectRecord> previous;
    };

    ObjectRecord *find(const std::string &kind, const std::string &name);
    void recordChange(const std::string &kind, const ObjectRecord &object, bool isRemoved,
                      std::optional<ObjectRecord> previous);
    StoreWrite change(const std::string &kind, const std::string &name, Expected revision,
                      const std::function<bool(ObjectRecord &)> &apply);

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, ObjectRecord>> m_objects; ///< by kind, by name
    std::deque<RecordChange> m_history;
    std::uint64_t m_historyFrom = 0; ///< the history has all changes after this revision
    std::uint64_t m_revision = 1;
    std::deque<UndoEntry> m_undoLog; ///< oldest first
    std::uint64_t m_era = 0;
};

} // namespace gwt
