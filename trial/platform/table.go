package platform

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// targetPrefix is the prefix of the header value that names a table operation.
const targetPrefix = "DynamoDB_20120810."

// maxPageBytes limits the size of the items in one page of a query result.
const maxPageBytes = 1 << 20

// An attribute is an attribute value: a string, a number or bytes.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// MarshalJSON keeps empty bytes, which omitempty would drop.
func (a attribute) MarshalJSON() ([]byte, error) {
	switch {
	case a.S != nil:
		return json.Marshal(map[string]string{"S": *a.S})
	case a.N != nil:
		return json.Marshal(map[string]string{"N": *a.N})
	default:
		return json.Marshal(map[string][]byte{"B": append([]byte{}, a.B...)})
	}
}

// equal reports whether two attributes have the same string or number value.
// It does not compare bytes.
func (a attribute) equal(b attribute) bool {
	return equalStrings(a.S, b.S) && equalStrings(a.N, b.N)
}

func equalStrings(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// An item is a row: attributes by name.
type item map[string]attribute

// key returns the item's partition key and sort key, without the table.
func (i item) key() rowKey {
	return rowKey{partition: i.stringValue("partition"), sort: i.stringValue("sort")}
}

func (i item) stringValue(name string) string {
	if s := i[name].S; s != nil {
		return *s
	}
	return ""
}

func (i item) size() int {
	size := 0
	for name, a := range i {
		size += len(name) + len(a.B)
		if a.S != nil {
			size += len(*a.S)
		}
	}
	return size
}

// A rowKey identifies a row across all tables.
type rowKey struct {
	table, partition, sort string
}

// A writeOperation is a Put or Delete of a transaction. It is also the input of
// GetItem.
type writeOperation struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

// key returns the key of the affected row.
func (c writeOperation) key() rowKey {
	k := c.Key.key()
	if c.Item != nil {
		k = c.Item.key()
	}
	k.table = c.TableName
	return k
}

// conditionHolds evaluates the condition against the current row, nil if there is
// none. It supports the two forms that bilberryvane uses: attribute_not_exists and
// equality.
func (c writeOperation) conditionHolds(current item) bool {
	expression := c.ConditionExpression
	if expression == "" {
		return true
	}
	if _, ok := strings.CutPrefix(expression, "attribute_not_exists("); ok {
		return current == nil
	}
	name, value, _ := strings.Cut(expression, " = ")
	return current != nil && current[c.ExpressionAttributeNames[name]].equal(c.ExpressionAttributeValues[value])
}

// A tableService stores the rows of all tables.
type tableService struct {
	// mu guards the fields below.
	mu   sync.Mutex
	rows map[rowKey]item
	// tokens maps the client request token of each applied transaction to the
	// digest of its request body.
	tokens map[string][sha256.Size]byte
}

func newTableService() *tableService {
	return &tableService{rows: make(map[rowKey]item), tokens: make(map[string][sha256.Size]byte)}
}

// handle serves one operation and reports whether it was a write.
func (t *tableService) handle(ctx *fasthttp.RequestCtx, operation string) bool {
	ctx.SetContentType("application/x-amz-json-1.0")
	switch operation {
	case "GetItem":
		t.get(ctx)
		return false
	case "Query":
		t.query(ctx)
		return false
	case "TransactWriteItems":
		t.transact(ctx)
		return true
	default:
		writeError(ctx, errorResponse{Type: "UnknownOperationException", Message: operation})
		return false
	}
}

func (t *tableService) get(ctx *fasthttp.RequestCtx) {
	var input writeOperation
	if !decode(ctx, &input) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	output := struct {
		Item item `json:",omitempty"`
	}{Item: t.rows[input.key()]}
	writeJSON(ctx, output)
}

// A query is the input of Query: one partition, optionally with a sort key prefix.
type query struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
}

// A page is the output of Query.
type page struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:",omitempty"`
}

func (t *tableService) query(ctx *fasthttp.RequestCtx) {
	var input query
	if !decode(ctx, &input) {
		return
	}
	partition := input.ExpressionAttributeValues.stringValue(":partition")
	prefix := input.ExpressionAttributeValues.stringValue(":prefix")
	after := input.ExclusiveStartKey.stringValue("sort")
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []item
	for k, row := range t.rows {
		if k.table == input.TableName && k.partition == partition && k.sort > after && strings.HasPrefix(k.sort, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.stringValue("sort"), b.stringValue("sort")) })
	writeJSON(ctx, firstPage(found))
}

// firstPage returns the rows that fit into one page.
func firstPage(found []item) page {
	size := 0
	for i, row := range found {
		size += row.size()
		if size > maxPageBytes && i > 0 {
			last := found[i-1]
			return page{
				Items:            found[:i],
				Count:            i,
				LastEvaluatedKey: item{"partition": last["partition"], "sort": last["sort"]},
			}
		}
	}
	return page{Items: append([]item{}, found...), Count: len(found)}
}

// A transaction is the input of TransactWriteItems.
type transaction struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put    *writeOperation
		Delete *writeOperation
	}
}

// transact applies all writes if all conditions hold. A retry with the same token
// and body succeeds without being applied again.
func (t *tableService) transact(ctx *fasthttp.RequestCtx) {
	var input transaction
	if !decode(ctx, &input) {
		return
	}
	digest := sha256.Sum256(ctx.PostBody())
	t.mu.Lock()
	defer t.mu.Unlock()
	if done, ok := t.tokens[input.ClientRequestToken]; ok {
		if done != digest {
			writeError(ctx, errorResponse{Type: "IdempotentParameterMismatchException", Message: "token used for another transaction"})
			return
		}
		writeJSON(ctx, struct{}{})
		return
	}
	if reasons := t.check(input); reasons != nil {
		writeError(ctx, errorResponse{Type: "TransactionCanceledException", Message: "transaction cancelled", Reasons: reasons})
		return
	}
	for _, member := range input.TransactItems {
		if member.Put != nil {
			t.rows[member.Put.key()] = member.Put.Item
		}
		if member.Delete != nil {
			delete(t.rows, member.Delete.key())
		}
	}
	if input.ClientRequestToken != "" {
		t.tokens[input.ClientRequestToken] = digest
	}
	writeJSON(ctx, struct{}{})
}

// check returns a cancellation reason for each write if any condition fails, and
// nil otherwise.
func (t *tableService) check(input transaction) []cancellationReason {
	reasons := make([]cancellationReason, 0, len(input.TransactItems))
	failed := false
	for _, member := range input.TransactItems {
		c := member.Put
		if c == nil {
			c = member.Delete
		}
		if c == nil {
			continue
		}
		current := t.rows[c.key()]
		if c.conditionHolds(current) {
			reasons = append(reasons, cancellationReason{Code: "None"})
			continue
		}
		failed = true
		reasons = append(reasons, cancellationReason{Code: "ConditionalCheckFailed", Item: current})
	}
	if !failed {
		return nil
	}
	return reasons
}

// A cancellationReason is the check result of one write of a cancelled transaction.
type cancellationReason struct {
	Code string
	Item item `json:",omitempty"`
}

// An errorResponse is an error response of the table service.
type errorResponse struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

func writeError(ctx *fasthttp.RequestCtx, f errorResponse) {
	f.Type = "com.amazonaws.dynamodb.v20120810#" + f.Type
	writeJSON(ctx, f)
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
}

// decode decodes the input of an operation. If that fails, it writes an error
// response and returns false.
func decode(ctx *fasthttp.RequestCtx, input any) bool {
	if err := json.Unmarshal(ctx.PostBody(), input); err != nil {
		writeError(ctx, errorResponse{Type: "SerializationException", Message: err.Error()})
		return false
	}
	return true
}
