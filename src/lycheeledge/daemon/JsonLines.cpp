// Line numbers of the values in a JSON text.

#include "JsonLines.h"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lycheeledge {

namespace {

    /** @brief Handler of rapidjson that records the line of each value by its JSON pointer. */
    class LineRecorder : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, LineRecorder> {
    public:
        LineRecorder(std::string_view text, const rapidjson::MemoryStream& in)
            : m_text(text)
            , m_in(in)
        {
        }

        std::map<std::string, std::size_t> takeLines() { return std::move(m_lines); }

        bool Default() // NOLINT(readability-identifier-naming): names of rapidjson's handler concept
        {
            beginValue();
            return true;
        }
        bool Key(const char* name, rapidjson::SizeType length, bool) // NOLINT(readability-identifier-naming)
        {
            m_levels.back().name = toReferenceToken({ name, length });
            m_lines.emplace(currentPointer(), currentLine());
            return true;
        }
        bool StartObject() { return pushLevel(false); } // NOLINT(readability-identifier-naming)
        bool EndObject(rapidjson::SizeType) { return popLevel(); } // NOLINT(readability-identifier-naming)
        bool StartArray() { return pushLevel(true); } // NOLINT(readability-identifier-naming)
        bool EndArray(rapidjson::SizeType) { return popLevel(); } // NOLINT(readability-identifier-naming)

    private:
        struct Level {
            bool isArray;
            std::string name; // reference token of the current field or element
            std::size_t elementCount = 0;
        };

        static std::string toReferenceToken(std::string_view name)
        {
            std::string token;
            for (const char c : name) {
                if (c == '~')
                    token += "~0";
                else if (c == '/')
                    token += "~1";
                else
                    token += c;
            }
            return token;
        }

        std::size_t currentLine() const { return lineAtOffset(m_text, m_in.Tell()); }

        std::string currentPointer() const
        {
            std::string pointer;
            for (const auto& level : m_levels)
                pointer += "/" + level.name;
            return pointer;
        }

        void beginValue()
        {
            if (!m_levels.empty() && m_levels.back().isArray)
                m_levels.back().name = std::to_string(m_levels.back().elementCount++);
            m_lines.emplace(currentPointer(), currentLine());
        }

        bool pushLevel(bool isArray)
        {
            beginValue();
            m_levels.push_back({ isArray, {} });
            return true;
        }

        bool popLevel()
        {
            m_levels.pop_back();
            return true;
        }

        std::string_view m_text;
        const rapidjson::MemoryStream& m_in;
        std::vector<Level> m_levels;
        std::map<std::string, std::size_t> m_lines;
    };

} // namespace

std::size_t lineAtOffset(std::string_view text, std::size_t offset)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

std::map<std::string, std::size_t> jsonValueLines(std::string_view text)
{
    rapidjson::MemoryStream in(text.data(), text.size());
    LineRecorder recorder(text, in);
    rapidjson::Reader reader;
    reader.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag>(
        in, recorder);
    return recorder.takeLines();
}

} // namespace lycheeledge
