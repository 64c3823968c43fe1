// Parser of JSON texts that other processes wrote. Its use of the stack does not grow with the nesting of the text, and
// neither does that of functions that visit or destroy the document.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeledge::detail {

/// Number of levels of nested values that a document keeps. Records and messages have fewer than ten.
inline constexpr std::size_t maxJsonDepth = 64;

/** @brief Treatment of arrays and objects nested deeper than maxJsonDepth. */
enum class DeepValues {
    Reject, ///< the text is an error
    Replace, ///< `false` is read in their place
};

/** @brief Passes parser events on to a document, except those of values that are too deep. */
class DepthLimitedHandler {
public:
    using Size = rapidjson::SizeType;

    DepthLimitedHandler(rapidjson::Document& document, DeepValues deep)
        : m_document(document)
        , m_deep(deep)
    {
    }
    // NOLINTBEGIN(readability-identifier-naming): names of rapidjson's handler concept
    bool Null() { return isSkipped() || m_document.Null(); }
    bool Bool(bool value) { return isSkipped() || m_document.Bool(value); }
    bool Int(int value) { return isSkipped() || m_document.Int(value); }
    bool Uint(unsigned value) { return isSkipped() || m_document.Uint(value); }
    bool Int64(std::int64_t value) { return isSkipped() || m_document.Int64(value); }
    bool Uint64(std::uint64_t value) { return isSkipped() || m_document.Uint64(value); }
    bool Double(double value) { return isSkipped() || m_document.Double(value); }
    bool RawNumber(const char* text, Size length, bool copy)
    {
        return isSkipped() || m_document.RawNumber(text, length, copy);
    }
    bool String(const char* text, Size length, bool copy)
    {
        return isSkipped() || m_document.String(text, length, copy);
    }
    bool Key(const char* text, Size length, bool copy) { return isSkipped() || m_document.Key(text, length, copy); }
    bool StartObject() { return enter() ? m_document.StartObject() : skip(); }
    bool EndObject(Size count) { return leave() || m_document.EndObject(count); }
    bool StartArray() { return enter() ? m_document.StartArray() : skip(); }
    bool EndArray(Size count) { return leave() || m_document.EndArray(count); }
    // NOLINTEND(readability-identifier-naming)

private:
    bool isSkipped() const { return m_depth > maxJsonDepth; }
    bool enter() { return ++m_depth <= maxJsonDepth; }
    /** @return whether the parser may go on. */
    bool skip() { return m_deep == DeepValues::Replace && (m_depth > maxJsonDepth + 1 || m_document.Bool(false)); }
    /** @return whether the value that ends is skipped. */
    bool leave() { return m_depth-- > maxJsonDepth; }

    rapidjson::Document& m_document;
    DeepValues m_deep;
    std::size_t m_depth = 0;
};

/** @brief Parses `text` into an empty document, which stays null if the result is an error. */
template <unsigned flags = rapidjson::kParseValidateEncodingFlag>
rapidjson::ParseResult parseJson(
    rapidjson::Document& document, std::string_view text, DeepValues deep = DeepValues::Reject)
{
    rapidjson::ParseResult result;
    const auto generate = [&result, text, deep](rapidjson::Document& target) {
        rapidjson::MemoryStream bytes(text.data(), text.size());
        rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> in(bytes);
        DepthLimitedHandler handler(target, deep);
        // The iterative parser keeps its state on the heap.
        result = rapidjson::Reader().Parse<flags | rapidjson::kParseIterativeFlag>(in, handler);
        return !result.IsError();
    };
    document.Populate(generate);
    return result;
}

/** @brief The text with `false` in place of each number that is beyond the range of a double. */
std::string replaceHugeNumbers(std::string_view text);

} // namespace lycheeledge::detail
