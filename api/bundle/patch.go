package bundle

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// dictionaryID marks the old value as dictionary in a patch's header; a raw dictionary has no number of its
	// own.
	dictionaryID = 1
	// maxWindowBytes covers the old value and the new one, each at most MaxValueBytes.
	maxWindowBytes = 2 * MaxValueBytes
	// fastLevelBytes is the size of the old value up to which the fastest level indexes all of it.
	fastLevelBytes = 64 << 10
)

// window returns the smallest power of two that covers both values, so that the end of the new value can still refer
// to the start of the old one. With half the window a change at the end of a value of 1 MiB of random bytes gave a
// patch of 1,048,614 bytes instead of 136.
func window(old, next []byte) int {
	total := len(old) + len(next)
	return max(zstd.MinWindowSize, 1<<bits.Len(uint(max(total, 1)-1)))
}

// level returns the cheapest level that finds all of the old value. The faster levels index only a part of a large
// dictionary: for 1 MiB of random bytes SpeedDefault gave a patch of 131,197 bytes, SpeedBetterCompression 136. For a
// shard of 32 KiB all levels gave 35 bytes, SpeedFastest with a twelfth of the time and memory (0.35 ms, 0.75 MB).
func level(old []byte) zstd.EncoderLevel {
	if len(old) <= fastLevelBytes {
		return zstd.SpeedFastest
	}
	return zstd.SpeedBetterCompression
}

// EncodePatch returns a zstd frame of the new value with the old one as raw dictionary. Without an old value the
// frame is a plain one. The frame of an unrelated old value may be larger than the new value; the caller compares.
func EncodePatch(old, new []byte) ([]byte, error) {
	if len(old) > MaxValueBytes || len(new) > MaxValueBytes {
		return nil, eris.Wrapf(ErrValueTooLarge, "a value of %d bytes, a patch to one of %d", len(old), len(new))
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(level(old)),
		zstd.WithWindowSize(window(old, new)),
		zstd.WithEncoderCRC(false), // The digest of the value is checked.
		zstd.WithLowerEncoderMem(true),
	}
	if len(old) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, old))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create the patch encoder")
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(new, nil), nil
}

// DecodePatch returns the new value, of at most MaxValueBytes, or an error that wraps ErrPatch. A patch that is
// applied to the wrong old value may decode to wrong bytes, so the caller checks the result with Value.Check.
func DecodePatch(old, patch []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		// Bounds the output; a patch of a few bytes could otherwise claim gigabytes.
		zstd.WithDecoderMaxMemory(MaxValueBytes),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(old) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, old))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create the patch decoder")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrPatchFailed, "%v", err)
	}
	if len(value) > MaxValueBytes {
		return nil, eris.Wrapf(ErrPatchFailed, "the patch gives %d bytes, at most %d are allowed", len(value), MaxValueBytes)
	}
	return value, nil
}
