#include "common/internal/TomlScan.h"

namespace gwt::internal {

namespace {

/// \brief Scans TOML text, skipping strings and comments.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : m_text(text)
    { }

    std::optional<int> run()
    {
        while (m_position < m_text.size()) {
            const char c = m_text[m_position];
            if (static_cast<unsigned char>(c) >= 0x80)
                return m_line;
            if (c == '#')
                skipComment();
            else if (c == '"' || c == '\'')
                skipString(c);
            else
                step();
        }
        return std::nullopt;
    }

private:
    void step()
    {
        if (m_text[m_position] == '\n')
            ++m_line;
        ++m_position;
    }

    void skipComment()
    {
        while (m_position < m_text.size() && m_text[m_position] != '\n')
            ++m_position;
    }

    void skipString(char quote)
    {
        const std::string_view prefix = m_text.substr(m_position, 3);
        const bool isMultiline = prefix.size() == 3 && prefix[1] == quote && prefix[2] == quote;
        const std::string_view end = isMultiline ? prefix : prefix.substr(0, 1);
        m_position += end.size();
        while (m_position < m_text.size()) {
            if (!isMultiline && m_text[m_position] == '\n')
                return;
            if (m_text.compare(m_position, end.size(), end) == 0) {
                m_position += end.size();
                return;
            }
            const bool isEscape = quote == '"' && m_text[m_position] == '\\';
            step();
            if (isEscape && m_position < m_text.size())
                step();
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    int m_line = 1;
};

} // namespace

std::optional<int> lineOfUnquotedNonAscii(std::string_view text)
{
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    if (text.substr(0, byteOrderMark.size()) == byteOrderMark)
        return 1;
    return Scanner(text).run();
}

} // namespace gwt::internal
