package platform

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// targetPrefix starts the header that names an operation of the table service.
const targetPrefix = "DynamoDB_20120810."

// maxPage bounds the bytes of values in one page of a query.
const maxPage = 1 << 20

// An attribute is one attribute value: a string, a number or bytes.
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

// equal reports whether two attributes hold the same string or number.
func (a attribute) equal(b attribute) bool {
	return same(a.S, b.S) && same(a.N, b.N)
}

func same(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// An item is one row by attribute name.
type item map[string]attribute

// key returns the partition and sort key of the item.
func (i item) key() rowKey { return rowKey{partition: i.text("partition"), sort: i.text("sort")} }

func (i item) text(name string) string {
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

// A rowKey names a row of one of the tables.
type rowKey struct {
	table, partition, sort string
}

// A change is one member of a transaction, or a condition with its row.
type change struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

// key returns the row that the change is about.
func (c change) key() rowKey {
	k := c.Key.key()
	if c.Item != nil {
		k = c.Item.key()
	}
	k.table = c.TableName
	return k
}

// holds evaluates the two conditions that the product uses.
func (c change) holds(present item) bool {
	expression := c.ConditionExpression
	if expression == "" {
		return true
	}
	if _, ok := strings.CutPrefix(expression, "attribute_not_exists("); ok {
		return present == nil
	}
	left, right, _ := strings.Cut(expression, " = ")
	return present != nil && present[c.ExpressionAttributeNames[left]].equal(c.ExpressionAttributeValues[right])
}

// A table keeps the rows of all tables.
type table struct {
	// mu guards the fields below.
	mu     sync.Mutex
	rows   map[rowKey]item
	tokens map[string][sha256.Size]byte
}

func newTable() *table {
	return &table{rows: make(map[rowKey]item), tokens: make(map[string][sha256.Size]byte)}
}

// handle answers one operation and reports whether it was a write.
func (t *table) handle(ctx *fasthttp.RequestCtx, operation string) bool {
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
		fail(ctx, failure{Type: "UnknownOperationException", Message: operation})
		return false
	}
}

func (t *table) get(ctx *fasthttp.RequestCtx) {
	var input change
	if !decode(ctx, &input) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	output := struct {
		Item item `json:",omitempty"`
	}{Item: t.rows[input.key()]}
	answerJSON(ctx, output)
}

// A query is the input of Query: one partition, with a prefix if it is given.
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

func (t *table) query(ctx *fasthttp.RequestCtx) {
	var input query
	if !decode(ctx, &input) {
		return
	}
	partition := input.ExpressionAttributeValues.text(":partition")
	prefix := input.ExpressionAttributeValues.text(":prefix")
	after := input.ExclusiveStartKey.text("sort")
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []item
	for k, row := range t.rows {
		if k.table == input.TableName && k.partition == partition && k.sort > after && strings.HasPrefix(k.sort, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.text("sort"), b.text("sort")) })
	answerJSON(ctx, paged(found))
}

// paged cuts the rows at the size of one page.
func paged(found []item) page {
	size := 0
	for i, row := range found {
		size += row.size()
		if size > maxPage && i > 0 {
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
		Put    *change
		Delete *change
	}
}

// transact applies all changes if all conditions hold. A repetition under the
// same token is answered as the transaction was, without a second effect.
func (t *table) transact(ctx *fasthttp.RequestCtx) {
	var input transaction
	if !decode(ctx, &input) {
		return
	}
	digest := sha256.Sum256(ctx.PostBody())
	t.mu.Lock()
	defer t.mu.Unlock()
	if done, ok := t.tokens[input.ClientRequestToken]; ok {
		if done != digest {
			fail(ctx, failure{Type: "IdempotentParameterMismatchException", Message: "token used for another transaction"})
			return
		}
		answerJSON(ctx, struct{}{})
		return
	}
	if reasons := t.check(input); reasons != nil {
		fail(ctx, failure{Type: "TransactionCanceledException", Message: "transaction cancelled", Reasons: reasons})
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
	answerJSON(ctx, struct{}{})
}

// check returns one reason for each member if any condition does not hold.
func (t *table) check(input transaction) []reason {
	reasons := make([]reason, 0, len(input.TransactItems))
	failed := false
	for _, member := range input.TransactItems {
		c := member.Put
		if c == nil {
			c = member.Delete
		}
		if c == nil {
			continue
		}
		present := t.rows[c.key()]
		if c.holds(present) {
			reasons = append(reasons, reason{Code: "None"})
			continue
		}
		failed = true
		reasons = append(reasons, reason{Code: "ConditionalCheckFailed", Item: present})
	}
	if !failed {
		return nil
	}
	return reasons
}

// A reason says why one member of a transaction did not pass.
type reason struct {
	Code string
	Item item `json:",omitempty"`
}

// A failure is the error answer of the table service.
type failure struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

func fail(ctx *fasthttp.RequestCtx, f failure) {
	f.Type = "com.amazonaws.dynamodb.v20120810#" + f.Type
	answerJSON(ctx, f)
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
}

// decode reads the input of an operation, or answers that it can't be read.
func decode(ctx *fasthttp.RequestCtx, input any) bool {
	if err := json.Unmarshal(ctx.PostBody(), input); err != nil {
		fail(ctx, failure{Type: "SerializationException", Message: err.Error()})
		return false
	}
	return true
}
