#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gwt {

/// \brief Maximum number of entries in one block of a CopyOnWriteMap; a block is copied as a whole.
inline constexpr std::size_t maxEntriesPerBlock = 128;

/// \brief An ordered map with string keys and copy-on-write blocks of entries.
///
/// Copying the map copies one pointer per block; modifying a copy clones only the block and the
/// entry concerned. The interface is a subset of that of std::map; entries are modified only
/// through operator[]. Const access is thread-safe, also while other copies are modified. The
/// address of an entry stays valid as long as any copy contains it.
template <typename Value>
class CopyOnWriteMap
{
public:
    using Entry = std::pair<const std::string, Value>;

private:
    using EntryPtr = std::shared_ptr<Entry>;
    using Block = std::vector<EntryPtr>; ///< sorted by name, never empty
    using BlockPtr = std::shared_ptr<Block>;

public:
    /// \brief Iterates over the entries in order of name. Invalidated by any change of its map.
    class Iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = Entry;
        using difference_type = std::ptrdiff_t;
        using pointer = const Entry *;
        using reference = const Entry &;

        Iterator() = default;
        reference operator*() const { return *(**m_block)[m_position]; }
        pointer operator->() const { return &**this; }
        Iterator &operator++()
        {
            if (++m_position == (*m_block)->size()) {
                ++m_block;
                m_position = 0;
            }
            return *this;
        }
        Iterator operator++(int)
        {
            const Iterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const Iterator &) const = default;

    private:
        friend class CopyOnWriteMap;
        using BlockIterator = typename std::vector<BlockPtr>::const_iterator;

        Iterator(BlockIterator block, std::size_t position)
            : m_block(block)
            , m_position(position)
        { }

        BlockIterator m_block{};
        std::size_t m_position = 0;
    };
    using const_iterator = Iterator;
    using value_type = Entry;

    Iterator begin() const { return {m_blocks.begin(), 0}; }
    Iterator end() const { return {m_blocks.end(), 0}; }
    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

    Iterator find(const std::string &name) const
    {
        const Location location = locate(name);
        return location.isFound ? Iterator(m_blocks.begin() + location.block, location.position)
                                : end();
    }
    std::size_t count(const std::string &name) const { return locate(name).isFound ? 1 : 0; }

    /// \brief Returns the value of \a name for modification; inserts a default one if there is
    /// none.
    Value &operator[](const std::string &name)
    {
        Location location = locate(name);
        if (!location.isFound)
            location = insertAt(location, name);
        EntryPtr &entry = mutableBlock(location.block)[location.position];
        if (entry.use_count() > 1)
            entry = std::make_shared<Entry>(*entry);
        return entry->second;
    }
    void insert_or_assign(const std::string &name, const Value &value) { (*this)[name] = value; }

    std::size_t erase(const std::string &name)
    {
        const Location location = locate(name);
        if (!location.isFound)
            return 0;
        Block &block = mutableBlock(location.block);
        block.erase(block.begin() + static_cast<std::ptrdiff_t>(location.position));
        if (block.empty())
            m_blocks.erase(m_blocks.begin() + location.block);
        --m_size;
        return 1;
    }
    void erase(Iterator entry) { erase(std::string(entry->first)); }

    /// \brief Compares all entries; shared entries are equal without comparing their values.
    bool operator==(const CopyOnWriteMap &other) const
    {
        return m_size == other.m_size
            && std::equal(begin(), end(), other.begin(),
                          [](const Entry &a, const Entry &b) { return &a == &b || a == b; });
    }

private:
    struct Location
    {
        std::ptrdiff_t block = 0;
        std::size_t position = 0;
        bool isFound = false;
    };

    /// \brief Returns the position of \a name, or where it would be inserted.
    Location locate(const std::string &name) const
    {
        if (m_blocks.empty())
            return {};
        const auto isBefore = [](const std::string &wanted, const BlockPtr &block) {
            return wanted < block->front()->first;
        };
        auto found = std::upper_bound(m_blocks.begin(), m_blocks.end(), name, isBefore);
        if (found != m_blocks.begin())
            --found;
        const Block &block = **found;
        const auto entry = std::lower_bound(
            block.begin(), block.end(), name,
            [](const EntryPtr &each, const std::string &wanted) { return each->first < wanted; });
        const bool isFound = entry != block.end() && (*entry)->first == name;
        return {found - m_blocks.begin(), static_cast<std::size_t>(entry - block.begin()), isFound};
    }

    Block &mutableBlock(std::ptrdiff_t number)
    {
        BlockPtr &block = m_blocks[static_cast<std::size_t>(number)];
        if (block.use_count() > 1)
            block = std::make_shared<Block>(*block);
        return *block;
    }

    Location insertAt(Location location, const std::string &name)
    {
        if (m_blocks.empty())
            m_blocks.push_back(std::make_shared<Block>());
        Block &block = mutableBlock(location.block);
        block.insert(block.begin() + static_cast<std::ptrdiff_t>(location.position),
                     std::make_shared<Entry>(name, Value()));
        ++m_size;
        if (block.size() <= maxEntriesPerBlock)
            return {location.block, location.position, true};
        const auto middle = block.begin() + static_cast<std::ptrdiff_t>(block.size() / 2);
        auto upper = std::make_shared<Block>(middle, block.end());
        block.erase(middle, block.end());
        m_blocks.insert(m_blocks.begin() + location.block + 1, std::move(upper));
        return locate(name);
    }

    std::vector<BlockPtr> m_blocks;
    std::size_t m_size = 0;
};

} // namespace gwt
