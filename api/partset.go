package api

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/tuning"
)

// PartSet is a set of part numbers of a dataset. Its JSON encoding is a roaring bitmap in the portable format,
// encoded as base64. A nil bitmap is encoded as the empty set; a decoded set always has a bitmap.
type PartSet struct{ *roaring.Bitmap }

// MarshalJSON returns the base64 encoding as a JSON string.
func (set PartSet) MarshalJSON() ([]byte, error) {
	if set.Bitmap == nil {
		return []byte(`""`), nil
	}
	raw, err := set.ToBytes()
	if err != nil {
		return nil, fmt.Errorf("part set: %w", err)
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(raw))
}

// UnmarshalJSON decodes the base64 text and validates the bitmap, which comes from outside the process.
func (set *PartSet) UnmarshalJSON(text []byte) error {
	var encoded string
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	set.Bitmap = roaring.New()
	if encoded == "" {
		return nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("part set: %w", err)
	}
	bitmap, err := decodeBitmap(raw)
	if err != nil {
		return fmt.Errorf("part set: %w", err)
	}
	set.Bitmap = bitmap
	return nil
}

// decodeBitmap decodes a bitmap that must occupy all of raw and contain only valid part numbers.
func decodeBitmap(raw []byte) (*roaring.Bitmap, error) {
	bitmap := roaring.New()
	size, err := bitmap.FromUnsafeBytes(raw)
	switch {
	case err != nil:
		return nil, err
	case size != int64(len(raw)):
		return nil, fmt.Errorf("%d bytes after the end of the bitmap", int64(len(raw))-size)
	case bitmap.IsEmpty():
		return bitmap, nil
	}
	if err := bitmap.Validate(); err != nil {
		return nil, err
	}
	if bitmap.Maximum() >= tuning.MaxParts {
		return nil, fmt.Errorf("part number %d exceeds the limit of parts in a dataset", bitmap.Maximum())
	}
	return bitmap, nil
}
