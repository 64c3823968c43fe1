// Input archive for cereal's portable binary format that does not trust the lengths in the input.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace lycheeledge {

/**
 * @brief Input archive over a buffer in memory.
 *
 * cereal's own archive resizes strings and vectors to the encoded length before it reads their content, so 8 corrupt
 * bytes can make it allocate and fill all memory of the machine. This archive treats a length that exceeds the
 * remaining bytes as an error. All errors are exceptions of type cereal::Exception.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view buf)
        : InputArchive(this)
        , m_remaining(buf)
    {
        constexpr std::uint8_t littleEndian = 1; // the first byte of the format is the byte order
        std::uint8_t order = 0;
        read(&order, sizeof order);
        if (order != littleEndian)
            throw cereal::Exception("message has an unknown byte order");
    }

    void read(void* data, std::size_t n)
    {
        checkLength(n);
        if (n == 0)
            return;
        std::memcpy(data, m_remaining.data(), n);
        m_remaining.remove_prefix(n);
    }

    /** @brief Checks a length or element count against the remaining bytes; an element takes at least one byte. */
    void checkLength(std::uint64_t n) const
    {
        if (n > m_remaining.size())
            throw cereal::Exception("message is shorter than the lengths in it");
    }

    bool atEnd() const { return m_remaining.empty(); }

private:
    std::string_view m_remaining;
};

} // namespace lycheeledge

namespace cereal {

// NOLINTBEGIN(readability-identifier-naming): cereal prescribes these names

template <typename T>
requires(std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof byte);
        if (byte > 1)
            throw Exception("message has a malformed truth value");
        value = byte == 1;
    } else {
        archive.read(&value, sizeof value);
    }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <typename T> void CEREAL_SERIALIZE_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, SizeTag<T>& tag)
{
    archive(tag.size);
    archive.checkLength(tag.size);
}

template <typename T> void CEREAL_LOAD_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, BinaryData<T>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

namespace traits::detail {

    // cereal requires load_minimal() to take the type that save_minimal() returns. It finds the output archive for that
    // check through this trait.
    template <> struct get_output_from_input<lycheeledge::BoundedInputArchive> {
        using type = PortableBinaryOutputArchive;
    };

} // namespace traits::detail

// NOLINTEND(readability-identifier-naming)

} // namespace cereal
