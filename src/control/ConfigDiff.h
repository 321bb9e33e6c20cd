#pragma once

#include "common/Outcome.h"
#include "control/ConfigSet.h"

#include <string>
#include <vector>

namespace gwt {

/// \brief How an object differs between two sets.
enum class ChangeKind { Added, Changed, Removed };

/// \brief Returns "added", "changed" or "removed".
std::string_view toString(ChangeKind kind);

/// \brief The name of a field and its values before and after, as text.
struct FieldChange
{
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const FieldChange &) const = default;
};

/// \brief The difference of one object between two sets.
struct ObjectChange
{
    ChangeKind change = ChangeKind::Changed;
    std::string kind; ///< "place", "service", "backend-server" or "rank"
    std::string name;
    std::vector<FieldChange> fields; ///< the fields that differ; all of them for an added object

    bool operator==(const ObjectChange &) const = default;
};

/// \brief Names and values of an object's fields as text, in a fixed order.
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

FieldTexts fieldTexts(const Place &place);
FieldTexts fieldTexts(const Service &service);
FieldTexts fieldTexts(const BackendServer &server);
FieldTexts fieldTexts(const Rank &rank);

/// \brief Returns the objects that differ between \a before and \a after, by kind and name.
std::vector<ObjectChange> diffConfig(const ConfigSet &before, const ConfigSet &after);

/// \brief Applies the change from \a base to \a wanted to \a head, a set that was published since
/// \a base (three-way merge).
///
/// An object that both sides changed in different ways is a conflict. Errors: Conflict
/// "object_changed_meanwhile", whose detail names each such object.
Outcome<ConfigSet> rebaseConfig(const ConfigSet &base, const ConfigSet &wanted,
                                const ConfigSet &head);

} // namespace gwt
